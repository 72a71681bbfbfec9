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

  /** The request count of each model when it was last served. */
  private final Map<String, Long> servedCountByModel = new HashMap<>();

  private final Map<String, Unserved> unservedByModel = new HashMap<>();
  private long nowMillis;

  private record Unserved(long sinceMillis, long lastRequestMillis, long requests, long lastCount) {
    /** Applies the request count of a round, which restarts at 0 after a while without requests. */
    Unserved withCount(long count, boolean waiting, long nowMillis) {
      long added = count >= lastCount ? count - lastCount : count;
      long lastMillis = added > 0 || waiting ? nowMillis : lastRequestMillis;
      return new Unserved(sinceMillis, lastMillis, requests + added, count);
    }
  }

  /** Applies the demand and the loaded models of a planning round. */
  void update(ServiceSnapshot snapshot) {
    nowMillis = snapshot.nowMillis();
    Set<String> models = snapshot.engine().models().keySet();
    servedCountByModel.keySet().retainAll(models);
    unservedByModel.keySet().retainAll(models);
    models.forEach(
        model -> update(model, snapshot.totalDemand(model), snapshot.servingReplicas(model) > 0));
  }

  private void update(String model, ModelDemand demand, boolean served) {
    if (served) {
      servedCountByModel.put(model, demand.requestCount());
      unservedByModel.remove(model);
      return;
    }
    boolean waiting = demand.waiting() > 0;
    long servedCount = servedCountByModel.getOrDefault(model, 0L);
    Unserved before =
        unservedByModel.getOrDefault(model, new Unserved(nowMillis, nowMillis, 0, servedCount));
    Unserved after = before.withCount(demand.requestCount(), waiting, nowMillis);
    boolean requested = waiting || after.requests() > 0;
    if (requested && nowMillis - after.lastRequestMillis() <= DEMAND_RETENTION_MILLIS) {
      unservedByModel.put(model, after);
    } else {
      servedCountByModel.put(model, demand.requestCount());
      unservedByModel.remove(model);
    }
  }

  /** Returns the names of the models, sorted. */
  Set<String> names() {
    return new TreeSet<>(unservedByModel.keySet());
  }

  /** Returns for how long a model has been requested without being served, in milliseconds. */
  long unservedMillis(String model) {
    Unserved unserved = unservedByModel.get(model);
    return unserved == null ? 0 : nowMillis - unserved.sinceMillis();
  }

  /** Returns the number of requests for a model since it was last served. */
  long requests(String model) {
    Unserved unserved = unservedByModel.get(model);
    return unserved == null ? 0 : unserved.requests();
  }
}
