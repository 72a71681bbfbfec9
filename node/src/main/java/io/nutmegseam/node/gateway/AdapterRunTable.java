package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.orders.AdapterRuns;
import io.nutmegseam.core.orders.RunDuration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;

/**
 * This node's requests for adapters that servers run, and how long they usually take. Confined to
 * the traffic thread.
 */
final class AdapterRunTable {
  private final InstantSource clock;
  private final Map<ModelWaitQueue.Key, Map<Attempt, Run>> runsByAdapter = new HashMap<>();

  /** By service and model, since adapters are called too seldom to tell. */
  private final Map<ModelWaitQueue.Key, RunDuration> durationByModel = new HashMap<>();

  /**
   * A request at a server.
   *
   * @param startMillis monotonic time at which it was sent, in milliseconds
   * @param limitMillis monotonic time at which it has ended at the latest, in milliseconds
   */
  private record Run(long startMillis, long limitMillis) {}

  /**
   * Creates a table without requests.
   *
   * @param clock monotonic clock
   */
  AdapterRunTable(InstantSource clock) {
    this.clock = clock;
  }

  /** Records a request that is sent to a server; another node counts what is sent to it. */
  void onBegun(RequestPlan plan, ServerEntry server, Attempt attempt) {
    if (!PeerTargets.isPeer(server)) {
      Run run = new Run(clock.millis(), plan.deadlineMillis());
      plan.adapter()
          .ifPresent(
              key -> runsByAdapter.computeIfAbsent(key, k -> new HashMap<>()).put(attempt, run));
    }
  }

  /** Records the end of a request at a server. */
  void onEnded(RequestPlan plan, Attempt attempt) {
    plan.adapter()
        .filter(runsByAdapter::containsKey)
        .ifPresent(
            key -> {
              Map<Attempt, Run> runs = runsByAdapter.get(key);
              Run ended = runs.remove(attempt);
              if (ended != null) {
                durationByModel.merge(
                    modelKey(key),
                    RunDuration.UNKNOWN.plus(clock.millis() - ended.startMillis()),
                    (before, first) -> before.plus(clock.millis() - ended.startMillis()));
              }
              if (runs.isEmpty()) {
                runsByAdapter.remove(key);
              }
            });
  }

  /** Returns the runs of each adapter that has any. */
  Map<ModelWaitQueue.Key, AdapterRuns> snapshot() {
    Map<ModelWaitQueue.Key, AdapterRuns> snapshot = new HashMap<>();
    runsByAdapter.forEach(
        (key, runs) -> {
          RunDuration duration = durationByModel.getOrDefault(modelKey(key), RunDuration.UNKNOWN);
          snapshot.put(
              key,
              runs.values().stream()
                  .map(run -> new AdapterRuns(1, expectedEndMillis(run, duration)))
                  .reduce(AdapterRuns.NONE, AdapterRuns::plus));
        });
    return snapshot;
  }

  private long expectedEndMillis(Run run, RunDuration duration) {
    return duration.expectedEndMillis(run.startMillis(), run.limitMillis(), clock.millis());
  }

  private static ModelWaitQueue.Key modelKey(ModelWaitQueue.Key adapter) {
    return new ModelWaitQueue.Key(adapter.service(), adapter.ref().base());
  }
}
