package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.settings.ReservedPorts;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The link of one node to one server on loopback, which can be cut in several ways. */
final class CuttableLink implements AutoCloseable {
  private static final int POLL_MILLIS = 10;
  private static final int FILLING_TIMEOUT_MILLIS = 50;

  private final int serverPort;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final List<Socket> unaccepted = new ArrayList<>();
  private final ReservedPorts ports = new ReservedPorts();
  private final int port;
  private volatile ServerSocket listener;
  private volatile Mode mode = Mode.OPEN;
  private volatile boolean closed;

  /** How the link is cut. */
  enum Mode {
    /** It is not. */
    OPEN,
    /** Nothing gets through, and attempts to connect get no response. */
    SILENT,
    /** Open connections are reset, and new ones refused. */
    RESET,
    /** Open connections live on, and new ones get no response. */
    SILENT_FOR_NEW,
    /** Open connections live on, and new ones are refused. */
    REFUSED_FOR_NEW;

    private boolean refuses() {
      return this == RESET || this == REFUSED_FOR_NEW;
    }

    private boolean passesData() {
      return this != SILENT;
    }
  }

  /** Opens a link to a server. */
  CuttableLink(ServerEntry server) throws IOException {
    serverPort = server.port();
    port = ports.next().port();
    listener = listen(port);
    Thread acceptor = new Thread(this::accept, "cuttable-link");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  /** Returns the entry of the server at the address of the link. */
  ServerEntry at(ServerEntry server) {
    return new ServerEntry(
        server.incarnation(),
        server.service(),
        server.softwareVersion(),
        "127.0.0.1",
        port,
        server.dataCentre(),
        server.slots(),
        server.draining(),
        server.inventory());
  }

  /** Cuts or opens the link. */
  synchronized void set(Mode next) throws IOException {
    boolean refused = mode.refuses();
    mode = next;
    if (next.refuses()) {
      listener.close();
    } else if (refused) {
      listener = listen(port);
    }
    if (next == Mode.RESET) {
      reset(sockets);
    }
    if (next == Mode.SILENT || next == Mode.SILENT_FOR_NEW) {
      fillBacklog();
    } else {
      reset(unaccepted);
      unaccepted.clear();
    }
  }

  /** Opens connections until the kernel drops further attempts, since none is accepted. */
  private void fillBacklog() throws IOException {
    waitForAcceptor();
    boolean accepted = true;
    while (accepted) {
      Socket socket = new Socket();
      unaccepted.add(socket);
      try {
        socket.connect(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), FILLING_TIMEOUT_MILLIS);
      } catch (SocketTimeoutException e) {
        accepted = false;
      }
    }
  }

  /** Waits until the acceptor does not accept one more connection. */
  private static void waitForAcceptor() {
    try {
      Thread.sleep(3 * POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static ServerSocket listen(int port) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1);
    socket.setSoTimeout(POLL_MILLIS);
    return socket;
  }

  private void accept() {
    while (!closed) {
      try {
        if (mode == Mode.OPEN) {
          connect(listener.accept());
        } else {
          Thread.sleep(POLL_MILLIS);
        }
      } catch (IOException e) {
        // No connection within the interval, or the listener is closed while the link is cut.
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void connect(Socket near) throws IOException {
    Socket far = new Socket(InetAddress.getLoopbackAddress(), serverPort);
    near.setTcpNoDelay(true);
    far.setTcpNoDelay(true);
    sockets.add(near);
    sockets.add(far);
    start(near, far);
    start(far, near);
  }

  private void start(Socket from, Socket to) {
    Thread pump = new Thread(() -> pump(from, to), "cuttable-link-pump");
    pump.setDaemon(true);
    pump.start();
  }

  private void pump(Socket from, Socket to) {
    byte[] buffer = new byte[8_192];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int read = in.read(buffer);
      while (read >= 0) {
        while (!mode.passesData() && !closed) {
          Thread.sleep(POLL_MILLIS);
        }
        out.write(buffer, 0, read);
        read = in.read(buffer);
      }
      while (!mode.passesData() && !closed) {
        Thread.sleep(POLL_MILLIS);
      }
    } catch (IOException e) {
      // One of the two ends is closed.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(from);
    }
  }

  private static void reset(Iterable<Socket> open) throws IOException {
    for (Socket socket : open) {
      try {
        socket.setSoLinger(true, 0);
      } catch (IOException e) {
        // It is closed already.
      }
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    reset(sockets);
    reset(unaccepted);
    ports.close();
  }
}
