import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A server process that answers each request with a stream of events without a length, which ends
 * with its connection. Arguments: port, id, number of events, milliseconds between them.
 */
final class StreamServer {
  private StreamServer() {}

  public static void main(String[] arguments) throws Exception {
    String id = arguments[1];
    int events = Integer.parseInt(arguments[2]);
    long gapMillis = Long.parseLong(arguments[3]);
    try (ServerSocket listener =
        new ServerSocket(Integer.parseInt(arguments[0]), 1_024, Stand.LOOPBACK)) {
      System.out.println("listening");
      while (true) {
        Socket socket = listener.accept();
        Stand.daemon(() -> serve(socket, id, events, gapMillis));
      }
    }
  }

  private static void serve(Socket socket, String id, int events, long gapMillis)
      throws Exception {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      Stand.Message request = Stand.readHead(in);
      Stand.readBody(in, request);
      if (!request.header("expect-instance").equals(id)) {
        Stand.respond(out, 421, "Instance-Id: " + id + "\r\n", new byte[0]);
        return;
      }
      write(
          out,
          "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
              .formatted(request.header("request-id")));
      for (int event = 1; event <= events; event++) {
        write(out, "id: " + event + "\ndata: event " + event + " of " + events + "\n\n");
        Thread.sleep(gapMillis);
      }
    }
  }

  private static void write(OutputStream out, String text) throws Exception {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }
}
