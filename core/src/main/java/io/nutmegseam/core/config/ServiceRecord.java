package io.nutmegseam.core.config;

import java.util.List;
import java.util.Optional;

/**
 * Record of a plain service, which is not a model engine.
 *
 * @param name name of the service in request paths
 * @param calls calls that the service accepts; the longest matching path prefix applies
 */
public record ServiceRecord(String name, List<Call> calls) implements OperatorRecord {
  /**
   * A call of a service.
   *
   * @param path path prefix after the service name, such as {@code /bookings}
   * @param idempotent whether the call may run more than once
   * @param timeoutMillis timeout of the call, in milliseconds
   */
  public record Call(String path, boolean idempotent, long timeoutMillis) {}

  @Override
  public RecordKind kind() {
    return RecordKind.SERVICE;
  }

  /** Returns the call with the longest prefix of a path, or empty if none matches. */
  public Optional<Call> callFor(String path) {
    return calls.stream()
        .filter(call -> path.startsWith(call.path()))
        .max(java.util.Comparator.comparingInt(call -> call.path().length()));
  }
}
