import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for a server of streams that can be taken up again, in a process of its own. Each event
 * names the software version that made it. Prints its port.
 */
public final class VersionServer {
  private static final int BACKLOG = 100;
  private static final long EVENT_MILLIS = 200;

  private final String id;
  private final String version;
  private final AtomicInteger runs = new AtomicInteger();

  private VersionServer(String id, String version) {
    this.id = id;
    this.version = version;
  }

  /** Arguments: id, software version, port (0: any). */
  public static void main(String[] args) throws IOException {
    VersionServer server = new VersionServer(args[0], args[1]);
    ServerSocket listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(args[2])), BACKLOG);
    System.out.println(listener.getLocalPort());
    while (true) {
      Socket socket = listener.accept();
      Thread handler = new Thread(() -> server.serve(socket));
      handler.setDaemon(true);
      handler.start();
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Wire.Head head = Wire.readHead(in); head != null; head = Wire.readHead(in)) {
        Wire.readBody(in, head);
        respond(head, socket.getOutputStream());
      }
    } catch (IOException | InterruptedException e) {
      // The gateway has closed the channel.
    }
  }

  private void respond(Wire.Head head, OutputStream out) throws IOException, InterruptedException {
    String echoed = "Request-Id: " + head.header("Request-Id") + "\r\n";
    String expected = head.header("Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      out.write(Wire.response(421, "Instance-Id: " + id + "\r\nNot-Run: 1\r\n" + echoed, ""));
      return;
    }
    if (head.word(1).startsWith("/health")) {
      out.write(Wire.response(200, "Instance-Id: " + id + "\r\n", ""));
      return;
    }
    String run = id + "." + version + "." + runs.incrementAndGet();
    int events = Integer.parseInt(head.word(1).substring(head.word(1).lastIndexOf('/') + 1));
    String last = head.header("Last-Event-Id");
    out.write(
        Wire.bytes(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "Server-Seal: " + run + "\r\n" + echoed + "\r\n"));
    for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= events; i++) {
      out.write(Wire.chunk("id: " + i + "\ndata: " + version + " " + run + "\n\n"));
      Thread.sleep(EVENT_MILLIS);
    }
    out.write(Wire.bytes("0\r\n\r\n"));
  }
}
