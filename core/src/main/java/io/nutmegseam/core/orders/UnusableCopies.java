package io.nutmegseam.core.orders;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks since when no server with a copy of a model can make room for it: they serve other models
 * in demand, or do not carry out their orders. Confined to one thread.
 */
final class UnusableCopies {
  private final Map<String, Long> sinceMillisByModel = new HashMap<>();
  private long nowMillis;

  /** Applies a planning round in which the copies of the given models are unusable. */
  void update(Collection<String> models, long roundMillis) {
    nowMillis = roundMillis;
    sinceMillisByModel.keySet().retainAll(models);
    models.forEach(model -> sinceMillisByModel.putIfAbsent(model, roundMillis));
  }

  /** Returns for how long the copies of a model have been unusable, in milliseconds. */
  long unusableMillis(String model) {
    return nowMillis - sinceMillisByModel.getOrDefault(model, nowMillis);
  }

  /** Forgets all models. */
  void clear() {
    sinceMillisByModel.clear();
  }
}
