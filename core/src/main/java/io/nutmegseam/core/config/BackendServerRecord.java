package io.nutmegseam.core.config;

/**
 * A backend server.
 *
 * @param name the server's name
 * @param address base address, such as {@code http://127.0.0.1:9000}
 * @param dataCentre the data centre where it stands
 * @param vm the VM on which it runs
 * @param service the plain service that it offers; empty for a model engine
 * @param memoryBytes accelerator memory, in bytes; 0 for a plain service
 * @param accelerators number of accelerators
 * @param tokensPerSecond generation speed of one stream
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param draining whether the operator wants it to get no new work
 */
public record BackendServerRecord(
    String name,
    String address,
    String dataCentre,
    String vm,
    String service,
    long memoryBytes,
    int accelerators,
    double tokensPerSecond,
    boolean checksFencing,
    boolean draining)
    implements OperatorRecord {
  @Override
  public RecordKind kind() {
    return RecordKind.BACKEND_SERVER;
  }

  /** Returns whether this is a model engine. */
  public boolean isEngine() {
    return service.isEmpty();
  }
}
