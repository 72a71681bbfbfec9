package io.nutmegseam.standin.process;

import io.nutmegseam.core.backend.Inventory;
import io.nutmegseam.standin.engine.EngineStandin;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Samples the engines for models with more replicas than their limit, and checks the engines'
 * statistics for overcommitted memory.
 */
final class InvariantMonitor {
  private static final long SAMPLE_MILLIS = 5;

  private final Map<String, EngineStandin> engines;
  private final Map<String, Integer> replicaLimits = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private volatile boolean running = true;

  InvariantMonitor(Map<String, EngineStandin> engines) {
    this.engines = engines;
  }

  void setReplicaLimit(String model, int limit) {
    replicaLimits.put(model, limit);
  }

  int modelCount() {
    return replicaLimits.size();
  }

  void start() {
    Thread sampler = new Thread(this::run, "invariants");
    sampler.setDaemon(true);
    sampler.start();
  }

  void stop() {
    running = false;
  }

  /** Returns descriptions of the violations found so far. */
  synchronized List<String> violations() {
    List<String> all = new ArrayList<>(violations);
    engines
        .values()
        .forEach(
            engine -> {
              if (engine.stats().overcommits() > 0) {
                all.add("overcommitted memory: " + engine.stats());
              }
            });
    return all;
  }

  private void run() {
    while (running) {
      sample();
      try {
        TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized void sample() {
    Map<String, Integer> replicas = new HashMap<>();
    for (EngineStandin engine : engines.values()) {
      for (Inventory.Item item : engine.inventory().items()) {
        replicas.merge(item.unit(), 1, Integer::sum);
      }
    }
    replicas.forEach(
        (unit, count) -> {
          if (count > replicaLimits.getOrDefault(unit, Integer.MAX_VALUE)) {
            violations.add(unit + " has " + count + " replicas");
          }
        });
  }
}
