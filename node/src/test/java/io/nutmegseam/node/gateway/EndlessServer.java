package io.nutmegseam.node.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A backend server on loopback that writes bytes after each request until its caller closes. */
final class EndlessServer implements AutoCloseable {
  private static final int BLOCK_BYTES = 16 << 10;

  private final String beginning;
  private final String repeated;
  private final long pauseMillis;
  private final ServerSocket listener;
  private final AtomicLong writtenBytes = new AtomicLong();

  /**
   * Creates a server.
   *
   * @param beginning first bytes after a request; {@code {id}} stands for the id of the request
   * @param repeated bytes that follow without end
   * @param pauseMillis pause before each repetition, in milliseconds; 0 to write as fast as
   *     possible
   */
  EndlessServer(String beginning, String repeated, long pauseMillis) throws IOException {
    this.beginning = beginning;
    this.repeated = repeated;
    this.pauseMillis = pauseMillis;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread acceptor = new Thread(this::accept, "endless-server");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Returns the number of bytes that the server could write, to its callers or their buffers. */
  long writtenBytes() {
    return writtenBytes.get();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        Thread worker = new Thread(() -> serve(socket), "endless-connection");
        worker.setDaemon(true);
        worker.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      String head = readHead(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      String id = StubServer.header(head, TestGateway.HEADERS.requestId());
      write(out, beginning.replace("{id}", id).getBytes(StandardCharsets.UTF_8));
      int copies = pauseMillis > 0 ? 1 : Math.max(1, BLOCK_BYTES / repeated.length());
      byte[] block = repeated.repeat(copies).getBytes(StandardCharsets.UTF_8);
      while (!listener.isClosed()) {
        Thread.sleep(pauseMillis);
        write(out, block);
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(OutputStream out, byte[] bytes) throws IOException {
    out.write(bytes);
    out.flush();
    writtenBytes.addAndGet(bytes.length);
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("connection closed");
      }
      head.append((char) next);
    }
    return head.toString();
  }
}
