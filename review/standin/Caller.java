import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A caller with one kept connection. */
final class Caller implements AutoCloseable {
  /** A complete response. */
  record Response(int status, Map<String, String> headers, byte[] body) {
    boolean closes() {
      return headers.getOrDefault("Connection", "").equalsIgnoreCase("close");
    }
  }

  final Socket socket;
  final InputStream in;

  Caller(int port) throws IOException {
    this(port, 0);
  }

  /** Connects with a receive buffer of a given size; 0 for the usual size. */
  Caller(int port, int receiveBytes) throws IOException {
    socket = new Socket();
    if (receiveBytes > 0) {
      socket.setReceiveBufferSize(receiveBytes);
    }
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
  }

  void send(String method, String target, String headers, byte[] body) throws IOException {
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    String length =
        method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n";
    whole.write(
        (method + " " + target + " HTTP/1.1\r\nHost: review.example\r\n" + headers + length
                + "\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    whole.write(body);
    socket.getOutputStream().write(whole.toByteArray());
    socket.getOutputStream().flush();
  }

  /** Reads a complete response; fails if the connection ends before. */
  Response receive() throws IOException {
    String line = HttpStandin.readLine(in);
    if (line == null) {
      throw new IOException("connection closed before the response");
    }
    Map<String, String> headers = HttpStandin.readHeaders(in);
    int status = Integer.parseInt(line.split(" ")[1]);
    return new Response(status, headers, HttpStandin.readBody(in, headers));
  }

  Response call(String method, String target, String headers, byte[] body) throws IOException {
    send(method, target, headers, body);
    return receive();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
