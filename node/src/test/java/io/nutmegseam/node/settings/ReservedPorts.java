package io.nutmegseam.node.settings;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Ports on loopback that are kept by a socket which is bound and does not listen, so that no
 * connection gets one of them before its user listens. Thread-safe.
 */
public final class ReservedPorts implements AutoCloseable {
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  /** Reserves a port until this object is closed; only sockets that reuse addresses can bind it. */
  public HostPort next() throws IOException {
    Socket socket = new Socket();
    sockets.add(socket);
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return new HostPort(InetAddress.getLoopbackAddress().getHostAddress(), socket.getLocalPort());
  }

  @Override
  public void close() {
    try {
      for (Socket socket : sockets) {
        socket.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
