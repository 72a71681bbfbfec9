package io.nutmegseam.core.fleet;

/**
 * The entry under which a backend server announces itself.
 *
 * @param incarnation the run of the server's process
 * @param service name of its service
 * @param softwareVersion version of its software, which is not that of the models' weights
 * @param host IP address
 * @param port port for requests
 * @param dataCentre data centre in which it runs
 * @param slots number of requests that it runs at once
 * @param draining whether it is about to shut down and must get no new work
 * @param inventory what it has loaded; without models for a plain service
 */
public record ServerEntry(
    Incarnation incarnation,
    String service,
    String softwareVersion,
    String host,
    int port,
    String dataCentre,
    int slots,
    boolean draining,
    Inventory inventory) {
  /** Returns a copy with another inventory. */
  public ServerEntry withInventory(Inventory newInventory) {
    return new ServerEntry(
        incarnation,
        service,
        softwareVersion,
        host,
        port,
        dataCentre,
        slots,
        draining,
        newInventory);
  }

  /** Returns a copy that is draining. */
  public ServerEntry asDraining() {
    return new ServerEntry(
        incarnation, service, softwareVersion, host, port, dataCentre, slots, true, inventory);
  }

  /** Returns the address for requests, as {@code host:port}. */
  public String address() {
    return host + ":" + port;
  }
}
