import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Scanner;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for a server of streams, in a process of its own, whose answers have no length and end
 * with their channel. Prints its port, then obeys lines on standard input: LEAVE lets it say in its
 * answers that it leaves, CLOSE lets it close its listener and the channels without a request, as a
 * server does that finishes what it runs before it exits.
 */
public final class StreamServer {
  private static final int BACKLOG = 100;
  private static final long EVENT_MILLIS = 200;

  private final String id;
  private final ServerSocket listener;
  private final Set<Socket> idle = new HashSet<>();
  private final AtomicInteger runs = new AtomicInteger();
  private volatile boolean leaving;
  private boolean closed;

  private StreamServer(String id) throws IOException {
    this.id = id;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  }

  public static void main(String[] args) throws IOException {
    StreamServer server = new StreamServer(args[0]);
    Thread acceptor = new Thread(server::accept);
    acceptor.setDaemon(true);
    acceptor.start();
    System.out.println(server.listener.getLocalPort());
    Scanner commands = new Scanner(System.in);
    while (commands.hasNext()) {
      if (commands.next().equals("LEAVE")) {
        server.leaving = true;
      } else {
        server.close();
      }
    }
    System.exit(0);
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        Thread handler = new Thread(() -> serve(socket));
        handler.setDaemon(true);
        handler.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private synchronized void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket socket : idle) {
      socket.close();
    }
  }

  /** Notes whether a channel waits for a request; false if it has to be closed. */
  private synchronized boolean setIdle(Socket socket, boolean waits) {
    if (waits && closed) {
      return false;
    }
    return waits ? idle.add(socket) : idle.remove(socket);
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      boolean goesOn = true;
      while (goesOn && setIdle(socket, true)) {
        Wire.Head head = Wire.readHead(in);
        setIdle(socket, false);
        if (head == null) {
          return;
        }
        Wire.readBody(in, head);
        goesOn = respond(head, socket.getOutputStream());
      }
      socket.shutdownOutput();
      while (in.read() >= 0) {
        // Nothing is expected any more.
      }
    } catch (IOException | InterruptedException e) {
      // The gateway has closed the channel.
    }
  }

  private boolean respond(Wire.Head head, OutputStream out)
      throws IOException, InterruptedException {
    String echoed = "Request-Id: " + head.header("Request-Id") + "\r\n";
    String leaves = leaving ? "Server-Leaving: 1\r\n" : "";
    String expected = head.header("Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      out.write(Wire.response(421, "Instance-Id: " + id + "\r\nNot-Run: 1\r\n" + echoed, ""));
      return true;
    }
    if (head.word(1).startsWith("/health")) {
      out.write(Wire.response(leaving ? 503 : 200, "Instance-Id: " + id + "\r\n" + leaves, ""));
      return true;
    }
    String run = id + "." + runs.incrementAndGet();
    int events = Integer.parseInt(head.word(1).substring(head.word(1).lastIndexOf('/') + 1));
    out.write(
        Wire.bytes(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
                + "Server-Seal: " + run + "\r\n" + leaves + echoed + "\r\n"));
    for (int i = 1; i <= events; i++) {
      out.write(Wire.bytes("id: " + i + "\ndata: " + run + "\n\n"));
      Thread.sleep(EVENT_MILLIS);
    }
    return false;
  }
}
