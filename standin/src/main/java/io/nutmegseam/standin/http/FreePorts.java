package io.nutmegseam.standin.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free ports below the ephemeral port range of the operating system, so that no outgoing
 * connection can occupy a port before the process that it is meant for listens on it.
 */
public final class FreePorts {
  private static final int FIRST_PORT = 12_000;
  private static final int PORT_COUNT = 18_000;

  /**
   * Distance between the first ports that processes with consecutive ids try, so that processes
   * that run at the same time rarely find the same ports.
   */
  private static final int PROCESS_STRIDE = 97;

  private static final AtomicInteger NEXT_OFFSET =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PROCESS_STRIDE % PORT_COUNT));

  private FreePorts() {}

  /**
   * Returns ports on 127.0.0.1 on which no process listens.
   *
   * @param count number of ports
   */
  public static List<Integer> find(int count) {
    List<Integer> ports = new ArrayList<>();
    while (ports.size() < count) {
      int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
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
