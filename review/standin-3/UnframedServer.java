import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for a sound server whose answers have no length and end with their channel. It closes
 * a channel on which no request has come for its idle time, and closes each channel in order.
 */
final class UnframedServer {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int BACKLOG = 100;
  private static final long CHECK_IN_MILLIS = 1_200;

  private final String id;
  private final String service;
  private final int idleMillis;
  private final StoreStandin store;
  private final Record record;
  private final ServerSocket listener;
  private final long bornMillis = System.currentTimeMillis();
  private final AtomicInteger runs = new AtomicInteger();
  private final AtomicInteger checkIns = new AtomicInteger();

  /** How the run of each request ended. */
  private final Map<String, String> endByRequest = new ConcurrentHashMap<>();

  UnframedServer(String id, String service, int idleMillis, StoreStandin store, Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.idleMillis = idleMillis;
    this.store = store;
    this.record = record;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    daemon(this::accept);
    daemon(this::checkInRegularly);
  }

  /** Returns whether the server has run a request to its end and written all of its answer. */
  boolean hasAnswered(String request) {
    return "whole".equals(endByRequest.get(request));
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void checkInRegularly() {
    try {
      while (true) {
        ObjectNode entry =
            JSON.createObjectNode()
                .put("service", service)
                .put("address", "127.0.0.1:" + listener.getLocalPort())
                .put("zone", "dc-a")
                .put("version", "v1")
                .put("slots", 32)
                .put("state", "ready")
                .put("coldLeftMs", 0)
                .put("seq", checkIns.incrementAndGet())
                .put("born", bornMillis);
        store.put("servers", id, entry.toString());
        Thread.sleep(CHECK_IN_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(idleMillis);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      Wire.Head head = Wire.readHead(in);
      while (head != null) {
        Wire.readBody(in, head);
        if (!respond(head, socket.getOutputStream())) {
          socket.shutdownOutput();
          awaitEnd(in);
          return;
        }
        head = Wire.readHead(in);
      }
    } catch (SocketTimeoutException e) {
      record.add("server %s: closes a channel that was idle for %d ms".formatted(id, idleMillis));
    } catch (IOException | InterruptedException e) {
      // The gateway has closed or reset the channel.
    }
  }

  private static void awaitEnd(InputStream in) throws IOException {
    while (in.read() >= 0) {
      // Nothing is expected any more.
    }
  }

  /** Answers a request; returns whether the channel goes on. */
  private boolean respond(Wire.Head head, OutputStream out)
      throws IOException, InterruptedException {
    String request = head.header("Request-Id");
    String expected = head.header("Expect-Instance");
    String echoed = "Request-Id: " + request + "\r\n";
    if (!expected.isEmpty() && !expected.equals(id)) {
      out.write(Wire.response(421, "Instance-Id: " + id + "\r\nNot-Run: 1\r\n" + echoed, ""));
      return true;
    }
    if (head.word(1).startsWith("/health")) {
      out.write(Wire.response(200, "Instance-Id: " + id + "\r\n", ""));
      return true;
    }
    String run = id + "." + runs.incrementAndGet();
    String end = "cut";
    record.add("server %s: run %s of request %s begins".formatted(id, run, request));
    try {
      String[] words = head.word(1).split("/", -1);
      int millis = Integer.parseInt(words[words.length - 1]);
      boolean stream = words[1].equals("chat");
      int events = stream ? Math.max(1, millis / 100) : 1;
      if (!stream) {
        Thread.sleep(millis);
      }
      out.write(
          Wire.bytes(
              "HTTP/1.1 200 OK\r\nContent-Type: "
                  + (stream ? "text/event-stream" : "text/plain")
                  + "\r\nConnection: close\r\nServer-Seal: " + run + "\r\n" + echoed + "\r\n"));
      for (int i = 1; i <= events; i++) {
        out.write(Wire.bytes(text(stream, run, i)));
        if (stream) {
          Thread.sleep(100);
        }
      }
      end = "whole";
    } finally {
      endByRequest.put(request, end);
      record.add("server %s: run %s of request %s ends: %s".formatted(id, run, request, end));
    }
    return false;
  }

  private static String text(boolean stream, String run, int event) {
    return stream ? "id: " + event + "\ndata: " + run + "\n\n" : "placed by " + run + "\n";
  }
}
