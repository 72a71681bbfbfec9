package io.nutmegseam.core.orders;

import io.nutmegseam.core.gateway.ModelSpec;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the models that a server has loaded from the weight store and that nobody has requested
 * since. Their callers were refused during the load and return after it. Confined to one thread.
 */
final class UnusedStoreLoads {
  private final Map<Replica, Load> loadByReplica = new HashMap<>();

  private record Replica(String serverId, String model) {}

  /**
   * A load that was ordered.
   *
   * @param complete whether the server was seen to serve the model
   * @param completeMillis monotonic time of that
   * @param requestCount number of requests for the model until then
   */
  private record Load(boolean complete, long completeMillis, long requestCount) {
    private static final Load ORDERED = new Load(false, 0, 0);
  }

  /** Applies the loads, the loaded models and the demand of a planning round. */
  void update(ServiceSnapshot snapshot) {
    snapshot
        .servers()
        .forEach(
            server ->
                server
                    .pending()
                    .filter(ModelOrder::isStoreLoad)
                    .map(order -> new Replica(server.id(), order.ref().model()))
                    .ifPresent(replica -> loadByReplica.putIfAbsent(replica, Load.ORDERED)));
    loadByReplica
        .entrySet()
        .removeIf(entry -> isUsedOrGone(entry.getKey(), entry.getValue(), snapshot));
    loadByReplica.replaceAll(
        (replica, load) ->
            load.complete() || !isServing(replica, snapshot)
                ? load
                : new Load(
                    true,
                    snapshot.nowMillis(),
                    snapshot.totalDemand(replica.model()).requestCount()));
  }

  private static boolean isUsedOrGone(Replica replica, Load load, ServiceSnapshot snapshot) {
    ModelSpec spec = snapshot.engine().models().get(replica.model());
    if (spec == null) {
      return true;
    }
    if (isServing(replica, snapshot)) {
      ModelDemand demand = snapshot.totalDemand(replica.model());
      boolean requested = load.complete() && demand.requestCount() > load.requestCount();
      boolean expired =
          load.complete() && snapshot.nowMillis() - load.completeMillis() >= spec.storeLoadMillis();
      return requested || expired || demand.waiting() > 0;
    }
    boolean loading =
        snapshot.server(replica.serverId()).filter(s -> s.isLoading(replica.model())).isPresent();
    return load.complete() || !loading;
  }

  private static boolean isServing(Replica replica, ServiceSnapshot snapshot) {
    return snapshot.server(replica.serverId()).filter(s -> s.serves(replica.model())).isPresent();
  }

  /** Returns the models that each server keeps for callers who return. */
  Map<String, Set<String>> modelsByServer() {
    Map<String, Set<String>> models = new HashMap<>();
    loadByReplica
        .keySet()
        .forEach(r -> models.computeIfAbsent(r.serverId(), s -> new HashSet<>()).add(r.model()));
    return models;
  }

  /** Forgets all loads. */
  void clear() {
    loadByReplica.clear();
  }
}
