package io.nutmegseam.core.orders;

import io.nutmegseam.core.gateway.ModelSpec;
import java.util.List;
import java.util.Set;

/**
 * A requested model that no server serves and for which none is reserved.
 *
 * @param model name of the model
 * @param reason why no server is reserved
 * @param unservedMillis time since it was first requested without being served, in milliseconds
 * @param waiting number of requests that wait for it
 * @param copies number of servers that have a copy of its weights and are not draining
 */
public record DeferredLoad(
    String model, Reason reason, long unservedMillis, int waiting, int copies) {
  /** Why no server is reserved for a model. */
  public enum Reason {
    /** No server has a copy, and the weight store serves no further load. */
    NO_COPY,
    /** The servers with a copy serve other models that may not be evicted. */
    COPIES_NOT_EVICTABLE,
    /** The servers with a copy are reserved for other models. */
    COPIES_RESERVED,
    /** A server with a copy is free, but no request waits: all were refused or cancelled. */
    NO_REQUEST_WAITS
  }

  /**
   * Determines why no server is reserved for a model.
   *
   * @param snapshot state of the service
   * @param model name of the model
   * @param unservedMillis time since it was first requested without being served, in milliseconds
   * @param urgent whether that is long
   * @param reservedServers ids of the servers that are reserved for a model
   */
  static DeferredLoad of(
      ServiceSnapshot snapshot,
      String model,
      long unservedMillis,
      boolean urgent,
      Set<String> reservedServers) {
    ModelSpec spec = snapshot.engine().models().get(model);
    List<ServerOrderState> withCopy =
        snapshot.servers().stream()
            .filter(s -> !s.entry().draining())
            .filter(s -> LoadSource.of(s.entry().inventory(), model) != LoadSource.STORE)
            .toList();
    List<ServerOrderState> able =
        withCopy.stream().filter(s -> MemoryUse.canHost(snapshot, s, spec, urgent)).toList();
    Reason reason;
    if (withCopy.isEmpty()) {
      reason = Reason.NO_COPY;
    } else if (able.isEmpty()) {
      reason = Reason.COPIES_NOT_EVICTABLE;
    } else if (able.stream().allMatch(s -> reservedServers.contains(s.id()))) {
      reason = Reason.COPIES_RESERVED;
    } else {
      reason = Reason.NO_REQUEST_WAITS;
    }
    return new DeferredLoad(
        model, reason, unservedMillis, snapshot.totalDemand(model).waiting(), withCopy.size());
  }
}
