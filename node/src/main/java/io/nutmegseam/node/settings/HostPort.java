package io.nutmegseam.node.settings;

import java.util.Optional;

/**
 * A network address, to listen on or to connect to.
 *
 * @param host IP address
 * @param port port, 1 to 65535
 */
public record HostPort(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /** Parses {@code host:port}; returns empty if the host is empty or the port is not valid. */
  public static Optional<HostPort> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return Optional.empty();
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      boolean valid = port > 0 && port <= MAX_PORT;
      return valid ? Optional.of(new HostPort(text.substring(0, colon), port)) : Optional.empty();
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
