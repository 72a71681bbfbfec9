package io.nutmegseam.core.config;

import java.util.List;
import java.util.Optional;

/**
 * A plain service beside the model engines.
 *
 * @param name the service's name in paths
 * @param calls the calls that it takes; the longest matching path prefix decides
 */
public record ServiceRecord(String name, List<Call> calls) implements OperatorRecord {
  /**
   * One call of a service.
   *
   * @param path path prefix within the service, such as {@code /bookings}
   * @param idempotent whether the call may be repeated
   * @param timeoutMillis longest time to an answer, in milliseconds
   */
  public record Call(String path, boolean idempotent, long timeoutMillis) {}

  @Override
  public RecordKind kind() {
    return RecordKind.SERVICE;
  }

  /** Returns the call that a path within the service belongs to. */
  public Optional<Call> callFor(String path) {
    return calls.stream()
        .filter(call -> path.startsWith(call.path()))
        .max(java.util.Comparator.comparingInt(call -> call.path().length()));
  }
}
