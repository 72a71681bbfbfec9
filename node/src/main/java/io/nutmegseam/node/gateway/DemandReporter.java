package io.nutmegseam.node.gateway;

import io.nutmegseam.core.dispatch.WaitingClass;
import io.nutmegseam.node.control.ControlThread;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Reports the demand at this node to the order lease holder. */
final class DemandReporter {
  /**
   * Delay of a report after the first request that waits for a model, so that a burst of requests
   * yields one report.
   */
  private static final long EARLY_REPORT_DELAY_MILLIS = 10;

  /** Interval at which the requests for adapters in flight are reported. */
  private static final long ADAPTER_RUNS_INTERVAL_MILLIS = 1_000;

  /** Interval of reports while the node has no demand and no requests in flight. */
  private static final long IDLE_REPORT_INTERVAL_MILLIS = 1_000;

  /**
   * Expected duration of a swap from disk with its orders; a request with less time left misses its
   * target.
   */
  private static final long SWAP_MILLIS = 1_200;

  private final ControlThread thread;
  private final Executor traffic;
  private final ArrivalCounts arrivals;
  private final ModelWaitQueue waitQueue;
  private final InstantSource clock;
  private final ServerLoads loads;
  private final Consumer<DemandAggregator.Report> sink;
  private boolean reportScheduled;
  private long lastSentMillis;
  private long adapterRunsSentMillis = Long.MIN_VALUE / 2;

  /**
   * Creates a reporter.
   *
   * @param thread the control thread
   * @param traffic runs tasks on the traffic thread
   * @param arrivals requests since the last report; read on the traffic thread
   * @param waitQueue requests that wait for a model; read on the traffic thread
   * @param loads requests in flight; read on the traffic thread
   * @param clock monotonic clock
   * @param sink receives each report on the control thread
   */
  DemandReporter(
      ControlThread thread,
      Executor traffic,
      ArrivalCounts arrivals,
      ModelWaitQueue waitQueue,
      ServerLoads loads,
      InstantSource clock,
      Consumer<DemandAggregator.Report> sink) {
    this.thread = thread;
    this.traffic = traffic;
    this.arrivals = arrivals;
    this.waitQueue = waitQueue;
    this.loads = loads;
    this.clock = clock;
    this.sink = sink;
  }

  /** Sends a report ahead of the regular interval, since a request has begun to wait. */
  void reportSoon() {
    thread.execute(
        () -> {
          if (!reportScheduled) {
            reportScheduled = true;
            thread.scheduleOnce(EARLY_REPORT_DELAY_MILLIS, this::report);
          }
        });
  }

  /** Collects the demand on the traffic thread, then reports it. Must run on the control thread. */
  void report() {
    reportScheduled = false;
    long nowMillis = clock.millis();
    boolean withRuns = nowMillis - adapterRunsSentMillis >= ADAPTER_RUNS_INTERVAL_MILLIS;
    if (withRuns) {
      adapterRunsSentMillis = nowMillis;
    }
    traffic.execute(
        () -> {
          DemandAggregator.Report report =
              new DemandAggregator.Report(
                  collectModelReports(),
                  loads.snapshotOutstanding(),
                  withRuns ? Optional.of(loads.adapterRuns().snapshot()) : Optional.empty());
          thread.execute(() -> sendUnlessIdle(report));
        });
  }

  private void sendUnlessIdle(DemandAggregator.Report report) {
    long nowMillis = clock.millis();
    boolean empty =
        report.modelReports().isEmpty()
            && report.outstandingByServer().isEmpty()
            && report.adapterRuns().isEmpty();
    if (!empty || nowMillis - lastSentMillis >= IDLE_REPORT_INTERVAL_MILLIS) {
      lastSentMillis = nowMillis;
      sink.accept(report);
    }
  }

  private List<DemandAggregator.ModelReport> collectModelReports() {
    Map<ModelWaitQueue.Key, Integer> counts = arrivals.drain();
    Map<ModelWaitQueue.Key, DemandAggregator.ModelReport> reportByModel = new HashMap<>();
    counts.forEach(
        (key, count) ->
            reportByModel.put(
                key,
                new DemandAggregator.ModelReport(key, 0, 0, Long.MAX_VALUE, count, List.of())));
    waitQueue
        .waitersByModel()
        .forEach(
            (key, waiters) ->
                reportByModel.put(key, modelReport(key, waiters, counts.getOrDefault(key, 0))));
    return new ArrayList<>(reportByModel.values());
  }

  private DemandAggregator.ModelReport modelReport(
      ModelWaitQueue.Key key, List<ModelWaitQueue.Waiter> waiters, int arrivalCount) {
    long swapDoneMillis = clock.millis() + SWAP_MILLIS;
    long earliest = Long.MAX_VALUE;
    int meetable = 0;
    List<WaitingClass> classes = new ArrayList<>();
    for (ModelWaitQueue.Waiter waiter : waiters) {
      earliest = Math.min(earliest, waiter.waitUntilMillis());
      boolean isMeetable = waiter.targetMillis() > swapDoneMillis;
      meetable += isMeetable ? 1 : 0;
      classes.add(WaitingClass.of(waiter.request().priority(), waiter.targetMillis(), isMeetable));
    }
    return new DemandAggregator.ModelReport(
        key, waiters.size(), meetable, earliest, arrivalCount, WaitingClass.merge(classes));
  }
}
