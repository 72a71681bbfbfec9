package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A backend server on loopback that sends numbered events, marked with its software version, and
 * breaks off or spoils some responses, drawn from a seed.
 */
final class FaultyStreamServer implements AutoCloseable {
  private static final int MAX_EVENTS = 12;
  private static final int FAULTS = 8;

  private final String id;
  private final String version;
  private final long seed;
  private final ServerSocket listener;

  /** How the end of a body is marked. */
  private enum Framing {
    LENGTH,
    CHUNKED,
    CONNECTION
  }

  FaultyStreamServer(String id, String version, long seed) throws IOException {
    this.id = id;
    this.version = version;
    this.seed = seed;
    this.listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    Thread acceptor = new Thread(this::accept, "faulty-stream-server");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  /** Returns the number of events of a stream, by the id of the request that begins it. */
  static int eventCount(String streamId) {
    return 1 + Math.floorMod(streamId.hashCode(), MAX_EVENTS);
  }

  /** Returns an event of a stream. */
  static String event(String streamId, String version, int number) {
    return "id: %d\ndata: %s of %s\n\n".formatted(number, version, streamId);
  }

  ServerEntry entry(String service) {
    return new ServerEntry(
        new Incarnation(id, 1),
        service,
        version,
        "127.0.0.1",
        listener.getLocalPort(),
        "dc",
        50,
        false,
        new Inventory(0, false, Map.of(), Set.of(), Set.of()));
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        Thread worker = new Thread(() -> serve(socket), "faulty-stream-connection");
        worker.setDaemon(true);
        worker.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      String head = readHead(socket.getInputStream());
      while (!head.isEmpty() && respond(socket, head)) {
        head = readHead(socket.getInputStream());
      }
    } catch (IOException e) {
      // The gateway has closed the connection.
    }
  }

  /** Responds to a request; returns whether the connection can carry another one. */
  private boolean respond(Socket socket, String head) throws IOException {
    String request = StubServer.header(head, TestGateway.HEADERS.requestId());
    String resumes = StubServer.header(head, TestGateway.HEADERS.resumes());
    String last = StubServer.header(head, TestGateway.HEADERS.lastEventId());
    String streamId = resumes.isEmpty() ? request : resumes;
    Random random = new Random((request + "/" + last + "/" + id).hashCode() + 31 * seed);
    Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
    byte[] body = body(streamId, last.isEmpty() ? 0 : Integer.parseInt(last));
    int fault = random.nextInt(FAULTS);
    switch (fault) {
      case 0 -> {
        return send(socket, "HTTP/1.1 500 Broken\r\nid: " + request, Framing.LENGTH, "x", false);
      }
      case 1 -> {
        String refusal = "HTTP/1.1 421 Misdirected\r\nnot-run: 1\r\nid: " + request;
        return send(socket, refusal, Framing.LENGTH, "", false);
      }
      case 2, 3, 4 -> breakOff(socket, request, framing, body, random);
      default -> {
        String text = new String(body, StandardCharsets.UTF_8);
        return send(socket, okHead(request), framing, text, random.nextInt(8) == 0);
      }
    }
    return false;
  }

  private byte[] body(String streamId, int lastEvent) {
    StringBuilder events = new StringBuilder();
    for (int i = lastEvent + 1; i <= eventCount(streamId); i++) {
      events.append(event(streamId, version, i));
    }
    return events.toString().getBytes(StandardCharsets.UTF_8);
  }

  private boolean send(
      Socket socket, String head, Framing framing, String body, boolean withSurplusBytes)
      throws IOException {
    String text = head + "\r\n" + framed(framing, body, body.length(), true);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    if (withSurplusBytes && framing != Framing.CONNECTION) {
      socket.getOutputStream().write("surplus".getBytes(StandardCharsets.UTF_8));
    }
    socket.getOutputStream().flush();
    return framing != Framing.CONNECTION && !withSurplusBytes;
  }

  /**
   * Sends a part of a body and ends the connection. Without another mark of the end, the part ends
   * inside an event, or the connection is reset, since it would be complete otherwise.
   */
  private void breakOff(Socket socket, String request, Framing framing, byte[] body, Random random)
      throws IOException {
    boolean reset = random.nextBoolean();
    int sentBytes = body.length == 0 ? 0 : random.nextInt(body.length);
    boolean endsWithEvent = sentBytes > 0 && endsWithEvent(body, sentBytes);
    if (framing == Framing.CONNECTION && !reset && endsWithEvent) {
      sentBytes--;
    }
    boolean endMarked = framing == Framing.CHUNKED && !endsWithEvent && random.nextBoolean();
    String part = new String(body, 0, sentBytes, StandardCharsets.UTF_8);
    endMarked &= sentBytes > 0;
    String text = okHead(request) + "\r\n" + framed(framing, part, body.length, endMarked);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().write(bytes.toByteArray());
    socket.getOutputStream().flush();
    if (reset) {
      socket.setSoLinger(true, 0);
    }
  }

  private static boolean endsWithEvent(byte[] body, int length) {
    return length >= 2 && body[length - 1] == '\n' && body[length - 2] == '\n';
  }

  private static String okHead(String request) {
    return "HTTP/1.1 200 OK\r\nreceipt: r\r\nContent-Type: text/event-stream\r\nid: " + request;
  }

  private static String framed(Framing framing, String part, int bodyBytes, boolean endMarked) {
    return switch (framing) {
      case LENGTH -> "Content-Length: %d\r\n\r\n%s".formatted(bodyBytes, part);
      case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n" + chunked(part, endMarked);
      case CONNECTION -> "\r\n" + part;
    };
  }

  private static String chunked(String part, boolean endMarked) {
    String chunk = part.isEmpty() ? "" : "%x\r\n%s\r\n".formatted(part.length(), part);
    return endMarked ? chunk + "0\r\n\r\n" : chunk;
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    return head.toString();
  }
}
