package io.nutmegseam.standin.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free ports below the range from which the operating system gives ports to connections, so
 * that none is taken before its process listens.
 */
public final class FreePorts {
  private static final int FIRST_PORT = 12_000;
  private static final int PORTS = 18_000;
  private static final int PROCESS_STRIDE = 97;
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PROCESS_STRIDE % PORTS));

  private FreePorts() {}

  /**
   * Returns ports of 127.0.0.1 on which nothing listens.
   *
   * @param count number of ports
   */
  public static List<Integer> find(int count) {
    List<Integer> ports = new ArrayList<>();
    while (ports.size() < count) {
      int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORTS);
      if (isFree(port)) {
        ports.add(port);
      }
    }
    return ports;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
