package io.nutmegseam.core.config;

/**
 * Record of a backend server.
 *
 * @param name name of the server
 * @param address base URL, such as {@code http://127.0.0.1:9000}
 * @param dataCentre data centre of the server
 * @param vm VM that runs the server
 * @param service plain service that the server provides; empty for a model engine
 * @param memoryBytes accelerator memory, in bytes; 0 for a plain service
 * @param accelerators number of accelerators
 * @param tokensPerSecond generation speed of one stream
 * @param checksFencing whether the server rejects orders with an outdated fencing number
 * @param draining whether the operator drains the server, so that it receives no new work
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

  /** Returns whether the server is a model engine, not a plain service. */
  public boolean isEngine() {
    return service.isEmpty();
  }
}
