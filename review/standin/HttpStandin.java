import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 server on a loopback address with one thread for each connection. */
final class HttpStandin {
  /** A request that was read completely. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String path() {
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    String parameter(String name) {
      int query = target.indexOf('?');
      for (String pair : query < 0 ? new String[0] : target.substring(query + 1).split("&")) {
        if (pair.startsWith(name + "=")) {
          return java.net.URLDecoder.decode(
              pair.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
      return "";
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  /** A connection; {@code alive} turns false when the other side has closed it. */
  static final class Connection {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      this.out = socket.getOutputStream();
    }

    synchronized void write(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    synchronized void respond(int status, String extraHeaders, byte[] body) throws IOException {
      String head =
          "HTTP/1.1 " + status + " X\r\n" + extraHeaders + "Content-Length: " + body.length
              + "\r\n\r\n";
      ByteArrayOutputStream whole = new ByteArrayOutputStream();
      whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
      whole.write(body);
      out.write(whole.toByteArray());
      out.flush();
    }
  }

  /** Handles one request of a connection. */
  interface Handler {
    void handle(Request request, Connection connection) throws Exception;
  }

  private final ServerSocket listener;
  private final Handler handler;
  private final java.util.Set<Socket> sockets =
      java.util.concurrent.ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  HttpStandin(int port, Handler handler) throws IOException {
    this.handler = handler;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
    daemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  void close() {
    closed = true;
    try {
      listener.close();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
    sockets.forEach(HttpStandin::closeQuietly);
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The connection is gone anyway.
    }
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        daemon(() -> serve(socket));
      } catch (IOException e) {
        if (!closed) {
          System.err.println("accept: " + e);
        }
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      Connection connection = new Connection(socket);
      for (Request next = read(connection.in); next != null; next = read(connection.in)) {
        handler.handle(next, connection);
      }
    } catch (IOException e) {
      // The other side has closed or reset the connection.
    } catch (Exception e) {
      System.err.println("handler: " + e);
    } finally {
      sockets.remove(socket);
    }
  }

  /** Reads a request; returns null at the end of the connection. */
  static Request read(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    String[] parts = line.split(" ");
    Map<String, String> headers = readHeaders(in);
    return new Request(parts[0], parts[1], headers, readBody(in, headers));
  }

  static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
    return headers;
  }

  static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
    if (headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT).equals("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String size = readLine(in);
        if (size == null) {
          throw new EOFException("end inside a chunked body");
        }
        int length = Integer.parseInt(size.trim(), 16);
        body.write(readFully(in, length));
        readLine(in);
        if (length == 0) {
          return body.toByteArray();
        }
      }
    }
    return readFully(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
  }

  private static byte[] readFully(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("end inside a body: " + bytes.length + " of " + length);
    }
    return bytes;
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
