package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.gateway.ModelSpec;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Estimates when servers can have loaded models. Immutable. */
final class LoadTimes {
  /** Expected duration of an unload, which waits for running requests, in milliseconds. */
  private static final long UNLOAD_MILLIS = 400;

  /** Expected remaining time of an order that this node did not send, in milliseconds. */
  private static final long UNTRACKED_ORDER_MILLIS = 1_000;

  /** Expected remaining time of a load that is overdue, in milliseconds. */
  private static final long OVERDUE_MILLIS = 250;

  private final ServiceSnapshot snapshot;

  /**
   * Creates estimates.
   *
   * @param snapshot state of the service
   */
  LoadTimes(ServiceSnapshot snapshot) {
    this.snapshot = snapshot;
  }

  /** Returns the monotonic time at which a server can have loaded a model, in milliseconds. */
  long readyMillis(ServerOrderState server, ModelSpec spec) {
    boolean untracked = server.pending().isEmpty() && server.entry().inventory().busy();
    long busyMillis = untracked ? UNTRACKED_ORDER_MILLIS : 0;
    double free = MemoryUse.freeMegabytes(snapshot.engine(), server);
    long unloadMillis = free >= spec.weightsMegabytes() ? 0 : UNLOAD_MILLIS;
    return server.expectedReadyMillis(snapshot.nowMillis())
        + busyMillis
        + unloadMillis
        + LoadSource.of(server.entry().inventory(), spec.name()).loadMillis(spec);
  }

  /**
   * Returns when each model with waiting requests, and each of its adapters, is expected to be
   * loaded.
   *
   * @param serverIdByModel the servers that are reserved for models
   * @param storeQueue models that need a load from the weight store, in the order of these loads
   */
  Map<ModelRef, Long> readyMillisByModel(
      Map<String, String> serverIdByModel, Collection<String> storeQueue) {
    Map<ModelRef, Long> readyMillis = new HashMap<>();
    snapshot.engine().models().values().stream()
        .filter(spec -> snapshot.totalDemand(spec.name()).waiting() > 0)
        .forEach(
            spec ->
                loadedMillis(spec)
                    .or(() -> reservedMillis(spec, serverIdByModel))
                    .or(() -> fromCopyMillis(spec))
                    .ifPresent(millis -> readyMillis.put(new ModelRef(spec.name(), ""), millis)));
    long slotFreeMillis = Math.max(snapshot.nowMillis(), snapshot.storeCapacity().nextFreeMillis());
    for (String model : storeQueue) {
      long storeLoadMillis = snapshot.engine().models().get(model).storeLoadMillis();
      readyMillis.put(new ModelRef(model, ""), slotFreeMillis + storeLoadMillis);
      slotFreeMillis += storeLoadMillis / snapshot.storeCapacity().parallelLoads();
    }
    snapshot.demandByModel().keySet().stream()
        .filter(ref -> readyMillis.containsKey(ref.base()))
        .toList()
        .forEach(ref -> readyMillis.putIfAbsent(ref, readyMillis.get(ref.base())));
    return readyMillis;
  }

  /** Returns the current time if a server serves a model, or when a load in flight should end. */
  private Optional<Long> loadedMillis(ModelSpec spec) {
    if (snapshot.servingReplicas(spec.name()) > 0) {
      return Optional.of(snapshot.nowMillis());
    }
    return activeServers()
        .filter(server -> server.isLoading(spec.name()))
        .map(server -> Math.max(server.pendingUntilMillis(), snapshot.nowMillis() + OVERDUE_MILLIS))
        .min(Comparator.naturalOrder());
  }

  private Optional<Long> reservedMillis(ModelSpec spec, Map<String, String> serverIdByModel) {
    return Optional.ofNullable(serverIdByModel.get(spec.name()))
        .flatMap(snapshot::server)
        .map(server -> readyMillis(server, spec));
  }

  private Optional<Long> fromCopyMillis(ModelSpec spec) {
    return activeServers()
        .filter(s -> LoadSource.of(s.entry().inventory(), spec.name()) != LoadSource.STORE)
        .map(server -> readyMillis(server, spec))
        .min(Comparator.naturalOrder());
  }

  private Stream<ServerOrderState> activeServers() {
    return snapshot.servers().stream()
        .filter(server -> !server.entry().draining())
        .filter(server -> !server.isStalled(snapshot.engine(), snapshot.nowMillis()));
  }
}
