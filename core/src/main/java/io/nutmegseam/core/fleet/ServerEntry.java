package io.nutmegseam.core.fleet;

/**
 * What a server announces of itself.
 *
 * @param incarnation the server's process
 * @param service name of its service
 * @param host IP number
 * @param port port for requests
 * @param dataCentre data centre in which it runs
 * @param slots requests that it runs at once
 * @param draining whether it is leaving and must get no new work
 * @param inventory what it holds; without models for a plain service
 */
public record ServerEntry(
    Incarnation incarnation,
    String service,
    String host,
    int port,
    String dataCentre,
    int slots,
    boolean draining,
    Inventory inventory) {
  /** Returns a copy with another inventory. */
  public ServerEntry withInventory(Inventory next) {
    return new ServerEntry(incarnation, service, host, port, dataCentre, slots, draining, next);
  }

  /** Returns a copy that gets no new work. */
  public ServerEntry asDraining() {
    return new ServerEntry(incarnation, service, host, port, dataCentre, slots, true, inventory);
  }

  /** Returns the address, as {@code host:port}. */
  public String address() {
    return host + ":" + port;
  }
}
