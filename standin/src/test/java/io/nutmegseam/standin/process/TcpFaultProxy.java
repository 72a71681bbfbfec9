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

/**
 * TCP proxy to a loopback port; can close connections, reject new ones, and stall or delay data.
 */
final class TcpFaultProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 << 10;
  private static final long STALL_POLL_MILLIS = 5;

  private final ServerSocket listener;
  private final int targetPort;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private volatile boolean disconnected;
  private volatile boolean stalledToTarget;
  private volatile boolean stalledFromTarget;
  private volatile long delayMillis;

  TcpFaultProxy(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread(this::acceptConnections);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Closes all connections, and each new one on arrival, until {@link #restore()}. */
  void disconnect() {
    disconnected = true;
    openSockets.forEach(TcpFaultProxy::closeQuietly);
    openSockets.clear();
  }

  /** Closes all connections; new ones are forwarded. */
  void resetConnections() {
    openSockets.forEach(TcpFaultProxy::closeQuietly);
    openSockets.clear();
  }

  /**
   * Sets for each direction whether data is withheld. Withheld data is forwarded when the stall
   * ends.
   *
   * @param toTarget whether data sent to the target port is withheld
   * @param fromTarget whether data sent by the target port is withheld
   */
  void stall(boolean toTarget, boolean fromTarget) {
    stalledToTarget = toTarget;
    stalledFromTarget = fromTarget;
  }

  /** Delays each chunk of data, in both directions. */
  void setDelayMillis(long millis) {
    delayMillis = millis;
  }

  /** Ends all faults. Closed connections are not reopened. */
  void restore() {
    disconnected = false;
    stall(false, false);
    setDelayMillis(0);
  }

  @Override
  public void close() throws IOException {
    disconnect();
    listener.close();
  }

  private void acceptConnections() {
    while (!listener.isClosed()) {
      try {
        Socket clientSocket = listener.accept();
        if (disconnected) {
          closeQuietly(clientSocket);
          continue;
        }
        Socket targetSocket = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        openSockets.add(clientSocket);
        openSockets.add(targetSocket);
        startThread(() -> forward(clientSocket, targetSocket, true));
        startThread(() -> forward(targetSocket, clientSocket, false));
      } catch (IOException e) {
        // The listener was closed, or the target does not accept connections.
      }
    }
  }

  private void forward(Socket from, Socket to, boolean toTarget) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (from;
        to;
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      int read = in.read(buffer);
      while (read >= 0) {
        applyDelayAndStall(toTarget);
        out.write(buffer, 0, read);
        read = in.read(buffer);
      }
    } catch (IOException e) {
      // Either side has closed the connection.
    }
  }

  private void applyDelayAndStall(boolean toTarget) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(delayMillis);
      while (!disconnected && (toTarget ? stalledToTarget : stalledFromTarget)) {
        TimeUnit.MILLISECONDS.sleep(STALL_POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      throw new InterruptedIOException();
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is discarded in any case.
    }
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "proxy");
    thread.setDaemon(true);
    thread.start();
  }
}
