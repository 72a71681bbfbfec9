package io.nutmegseam.core.orders;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tracks the models that are requested while no server serves them, whether their requests wait or
 * were refused. Confined to one thread.
 */
final class UnservedModels {
  /** A model without requests for this time is no longer in demand. */
  private static final long DEMAND_RETENTION_MILLIS = 30_000;

  private final Map<String, Long> servedMillisByModel = new HashMap<>();
  private final Map<String, Long> unservedSinceMillisByModel = new HashMap<>();
  private long nowMillis;

  /** Applies the demand and the loaded models of a planning round. */
  void update(ServiceSnapshot snapshot) {
    nowMillis = snapshot.nowMillis();
    Set<String> models = snapshot.engine().models().keySet();
    servedMillisByModel.keySet().retainAll(models);
    unservedSinceMillisByModel.keySet().retainAll(models);
    for (String model : models) {
      if (snapshot.servingReplicas(model) > 0) {
        servedMillisByModel.put(model, nowMillis);
        unservedSinceMillisByModel.remove(model);
      } else if (isRequested(model, snapshot.totalDemand(model))) {
        unservedSinceMillisByModel.putIfAbsent(model, nowMillis);
      } else {
        unservedSinceMillisByModel.remove(model);
      }
    }
  }

  private boolean isRequested(String model, ModelDemand demand) {
    long servedMillis = servedMillisByModel.getOrDefault(model, ModelDemand.NEVER_MILLIS);
    boolean requestedSince =
        demand.lastRequestMillis() > servedMillis
            && nowMillis - demand.lastRequestMillis() <= DEMAND_RETENTION_MILLIS;
    return demand.waiting() > 0 || requestedSince;
  }

  /** Forgets all models. */
  void clear() {
    servedMillisByModel.clear();
    unservedSinceMillisByModel.clear();
  }

  /** Returns the names of the models, sorted. */
  Set<String> names() {
    return new TreeSet<>(unservedSinceMillisByModel.keySet());
  }

  /** Returns for how long a model has been requested without being served, in milliseconds. */
  long unservedMillis(String model) {
    Long sinceMillis = unservedSinceMillisByModel.get(model);
    return sinceMillis == null ? 0 : nowMillis - sinceMillis;
  }
}
