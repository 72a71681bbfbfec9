package io.nutmegseam.node.gateway;

import io.nutmegseam.node.control.ControlThread;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Tells the node that orders loads what this node is asked for. */
final class DemandReporter {
  /** Time after the first request that waits for a model, so that a burst makes one report. */
  private static final long URGENT_MILLIS = 10;

  /** A report without demand is left out unless the last one is older. */
  private static final long IDLE_MILLIS = 1_000;

  /** Time of a swap from disk, with its orders; later requests are no longer in time. */
  private static final long SWAP_MILLIS = 1_200;

  private final ControlThread thread;
  private final Executor traffic;
  private final ArrivalCounts arrivals;
  private final ModelWaitQueue room;
  private final InstantSource clock;
  private final ServerLoads loads;
  private final Consumer<DemandAggregator.Report> sink;
  private boolean soon;
  private long sentMillis;

  /**
   * Creates a reporter.
   *
   * @param thread the control thread
   * @param traffic runs tasks on the traffic thread
   * @param arrivals requests that have arrived; read on the traffic thread
   * @param room requests that wait; read on the traffic thread
   * @param loads requests under way; read on the traffic thread
   * @param clock monotonic clock
   * @param sink takes each report on the control thread
   */
  DemandReporter(
      ControlThread thread,
      Executor traffic,
      ArrivalCounts arrivals,
      ModelWaitQueue room,
      ServerLoads loads,
      InstantSource clock,
      Consumer<DemandAggregator.Report> sink) {
    this.thread = thread;
    this.traffic = traffic;
    this.arrivals = arrivals;
    this.room = room;
    this.loads = loads;
    this.clock = clock;
    this.sink = sink;
  }

  /** Reports before the next round, since a request has begun to wait. */
  void reportSoon() {
    thread.execute(
        () -> {
          if (!soon) {
            soon = true;
            thread.after(URGENT_MILLIS, this::report);
          }
        });
  }

  /** Reports; runs on the control thread. */
  void report() {
    soon = false;
    traffic.execute(
        () -> {
          DemandAggregator.Report report =
              new DemandAggregator.Report(collect(), loads.snapshotOutstanding());
          thread.execute(() -> deliver(report));
        });
  }

  private void deliver(DemandAggregator.Report report) {
    long nowMillis = clock.millis();
    boolean empty = report.modelReports().isEmpty() && report.outstandingByServer().isEmpty();
    if (!empty || nowMillis - sentMillis >= IDLE_MILLIS) {
      sentMillis = nowMillis;
      sink.accept(report);
    }
  }

  private List<DemandAggregator.ModelReport> collect() {
    Map<ModelWaitQueue.Key, Integer> counts = arrivals.drain();
    Map<ModelWaitQueue.Key, DemandAggregator.ModelReport> asks = new HashMap<>();
    counts.forEach(
        (key, count) ->
            asks.put(key, new DemandAggregator.ModelReport(key, 0, 0, Long.MAX_VALUE, count)));
    room.waitersByModel()
        .forEach((key, waiters) -> asks.put(key, ask(key, waiters, counts.getOrDefault(key, 0))));
    return new ArrayList<>(asks.values());
  }

  private DemandAggregator.ModelReport ask(
      ModelWaitQueue.Key key, List<ModelWaitQueue.Waiter> waiters, int arrivalCount) {
    long freshMillis = clock.millis() + SWAP_MILLIS;
    long earliest = Long.MAX_VALUE;
    int fresh = 0;
    for (ModelWaitQueue.Waiter waiter : waiters) {
      earliest = Math.min(earliest, waiter.waitUntilMillis());
      fresh += waiter.targetMillis() > freshMillis ? 1 : 0;
    }
    return new DemandAggregator.ModelReport(key, waiters.size(), fresh, earliest, arrivalCount);
  }
}
