package io.nutmegseam.standin.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Forwards TCP connections to one port, and can be cut, reset, silenced or slowed down. */
final class TcpFaultProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 << 10;
  private static final long HOLD_MILLIS = 5;

  private final ServerSocket listener;
  private final int targetPort;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;
  private volatile boolean silentTo;
  private volatile boolean silentFrom;
  private volatile long delayMillis;

  TcpFaultProxy(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Breaks all connections and lets no new one through. */
  void disconnect() {
    cut = true;
    open.forEach(TcpFaultProxy::closeQuietly);
    open.clear();
  }

  /** Breaks all connections; new ones are let through. */
  void resetConnections() {
    open.forEach(TcpFaultProxy::closeQuietly);
    open.clear();
  }

  /** Holds back what is sent towards the port, what comes from it, or both. */
  void stall(boolean towards, boolean from) {
    silentTo = towards;
    silentFrom = from;
  }

  /** Delays what is sent either way. */
  void setDelayMillis(long millis) {
    delayMillis = millis;
  }

  void restore() {
    cut = false;
    stall(false, false);
    setDelayMillis(0);
  }

  @Override
  public void close() throws IOException {
    disconnect();
    listener.close();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket near = listener.accept();
        if (cut) {
          closeQuietly(near);
          continue;
        }
        Socket far = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        open.add(near);
        open.add(far);
        start(() -> pump(near, far, true));
        start(() -> pump(far, near, false));
      } catch (IOException e) {
        // The listener was closed or the target is not there.
      }
    }
  }

  private void pump(Socket from, Socket to, boolean towards) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (from;
        to;
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      int read = in.read(buffer);
      while (read >= 0) {
        hold(towards);
        out.write(buffer, 0, read);
        read = in.read(buffer);
      }
    } catch (IOException e) {
      // Either side has closed the connection.
    }
  }

  private void hold(boolean towards) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(delayMillis);
      while (!cut && (towards ? silentTo : silentFrom)) {
        TimeUnit.MILLISECONDS.sleep(HOLD_MILLIS);
      }
    } catch (InterruptedException e) {
      throw new InterruptedIOException();
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed in any case.
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "link");
    thread.setDaemon(true);
    thread.start();
  }
}
