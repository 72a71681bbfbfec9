package io.nutmegseam.core.orders;

import io.nutmegseam.core.gateway.ModelSpec;
import java.util.Comparator;
import java.util.Optional;

/** Chooses the model that a server evicts to free memory. */
final class EvictionChooser {
  private EvictionChooser() {}

  /**
   * Returns the evictable model with the lowest eviction cost, or empty if none is evictable.
   *
   * @param snapshot state of the service
   * @param server server that needs memory
   * @param forModel model that needs the memory
   * @param urgent whether the model has been unserved for long
   */
  static Optional<String> choose(
      ServiceSnapshot snapshot, ServerOrderState server, String forModel, boolean urgent) {
    return server.entry().inventory().adaptersByModel().keySet().stream()
        .filter(model -> !model.equals(forModel) && !server.isUnloading(model))
        .filter(model -> isEvictable(snapshot, server, model, urgent))
        .min(
            Comparator.<String>comparingDouble(
                    model -> evictionCostMillisPerSecond(snapshot, server, model))
                .thenComparing(Comparator.naturalOrder()));
  }

  /** Returns the memory of all models that a server can evict for a model, in megabytes. */
  static double evictableMegabytes(
      ServiceSnapshot snapshot, ServerOrderState server, String forModel, boolean urgent) {
    double total = 0;
    for (var loaded : server.entry().inventory().adaptersByModel().entrySet()) {
      boolean isCandidate =
          !loaded.getKey().equals(forModel) && !server.isUnloading(loaded.getKey());
      if (isCandidate && isEvictable(snapshot, server, loaded.getKey(), urgent)) {
        total +=
            MemoryUse.loadedMegabytes(snapshot.engine(), loaded.getKey(), loaded.getValue().size());
      }
    }
    return total;
  }

  /**
   * Returns whether a model may be evicted: no request waits for it, and it has a spare replica or
   * fewer than 1 request/s. For an urgent model, a replica is spare if the others are enough for
   * the present demand: a server may have the only copy of the urgent model and serve models in
   * high demand for as long as that lasts, while those can have their replica on another server.
   */
  private static boolean isEvictable(
      ServiceSnapshot snapshot, ServerOrderState server, String model, boolean urgent) {
    if (snapshot.isKept(server.id(), model)) {
      return false;
    }
    ModelDemand demand = snapshot.totalDemand(model);
    int replicas = snapshot.servingReplicas(model);
    int slots = snapshot.engine().slots();
    boolean hasSpareReplica =
        replicas > ReplicaTarget.minimumKept(demand.ratePerSecond(), slots)
            || (urgent
                && replicas > 1
                && !ReplicaTarget.isOverloaded(demand.ratePerSecond(), replicas - 1, slots));
    return demand.waiting() == 0 && (hasSpareReplica || demand.ratePerSecond() < 1);
  }

  /** Returns the delay for callers that an eviction is expected to cause, in ms per second. */
  private static double evictionCostMillisPerSecond(
      ServiceSnapshot snapshot, ServerOrderState server, String model) {
    ModelSpec spec = snapshot.engine().models().get(model);
    if (spec == null) {
      return 0;
    }
    int otherReplicas = snapshot.servingReplicas(model) - 1;
    LoadSource source = LoadSource.of(server.entry().inventory(), model);
    // The added rate ranks models without requests by their load time.
    double ratePerSecond = snapshot.totalDemand(model).ratePerSecond() + 1e-6;
    return ratePerSecond * source.loadMillis(spec) / (1 + otherReplicas);
  }
}
