package io.nutmegseam.node.gateway;

import io.nutmegseam.core.dispatch.WaitingClass;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.orders.AdapterRuns;
import io.nutmegseam.core.orders.ModelDemand;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Aggregates the demand that the nodes report. Confined to the control thread. */
final class DemandAggregator {
  /** Time constant of the exponentially decaying mean of the request rate. */
  private static final double RATE_TIME_CONSTANT_MILLIS = 4_000;

  /** A report is discarded after this time if its node sends no newer one. */
  private static final long MAX_REPORT_AGE_MILLIS = 1_500;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double NEGLIGIBLE_RATE_PER_SECOND = 1e-4;

  private final InstantSource clock;
  private final Map<String, ReceivedReport> reportByNode = new HashMap<>();
  private final Map<ModelWaitQueue.Key, Rate> rateByModel = new HashMap<>();
  private final Map<String, NodeRuns> runsByNode = new HashMap<>();

  /**
   * Demand for one model at one node.
   *
   * @param key the model and its service
   * @param waiting number of requests that wait for the model
   * @param meetable how many of the waiting requests would meet their target after a swap that
   *     starts now
   * @param earliestDeadlineMillis earliest monotonic time until which a waiting request can wait;
   *     {@code Long.MAX_VALUE} if none waits
   * @param arrivals number of requests since the last report
   * @param classes waiting requests by priority; empty if the node does not report them
   */
  record ModelReport(
      ModelWaitQueue.Key key,
      int waiting,
      int meetable,
      long earliestDeadlineMillis,
      int arrivals,
      List<WaitingClass> classes) {}

  /**
   * Demand report of one node.
   *
   * @param modelReports demand for each model that has any
   * @param outstandingByServer the node's requests in flight at each server that has any
   * @param adapterRuns the node's requests in flight for each adapter that has any; empty if the
   *     report omits them
   */
  record Report(
      List<ModelReport> modelReports,
      Map<String, Integer> outstandingByServer,
      Optional<Map<ModelWaitQueue.Key, AdapterRuns>> adapterRuns) {
    Report {
      modelReports = List.copyOf(modelReports);
      outstandingByServer = Map.copyOf(outstandingByServer);
      adapterRuns = adapterRuns.map(Map::copyOf);
    }

    /** Creates a report that omits the requests for adapters. */
    Report(List<ModelReport> modelReports, Map<String, Integer> outstandingByServer) {
      this(modelReports, outstandingByServer, Optional.empty());
    }
  }

  private record ReceivedReport(Report report, long receivedMillis) {}

  /**
   * Requests of a node for adapters: those that it has listed last, and all that arrived since, of
   * which it is not known when they end.
   */
  private record NodeRuns(Map<ModelWaitQueue.Key, AdapterRuns> runsByAdapter) {
    private NodeRuns plus(List<ModelReport> arrivals) {
      Map<ModelWaitQueue.Key, AdapterRuns> runs = new HashMap<>(runsByAdapter);
      arrivals.stream()
          .filter(model -> model.key().ref().isAdapter() && model.arrivals() > model.waiting())
          .forEach(
              model ->
                  runs.merge(
                      model.key(),
                      AdapterRuns.unknown(model.arrivals() - model.waiting()),
                      AdapterRuns::plus));
      return new NodeRuns(runs);
    }
  }

  /** The request rate of a model at the time of the last report that counted requests for it. */
  private record Rate(double perSecond, long atMillis, long requestCount) {
    double decayedTo(long nowMillis) {
      return perSecond * Math.exp(-(nowMillis - atMillis) / RATE_TIME_CONSTANT_MILLIS);
    }
  }

  /**
   * Creates an aggregator without reports.
   *
   * @param clock monotonic clock
   */
  DemandAggregator(InstantSource clock) {
    this.clock = clock;
  }

  /** Replaces the last report of a node and adds its arrivals to the request rates. */
  void onReport(String node, Report report) {
    long nowMillis = clock.millis();
    reportByNode.put(node, new ReceivedReport(report, nowMillis));
    report
        .adapterRuns()
        .map(NodeRuns::new)
        .or(
            () ->
                Optional.ofNullable(runsByNode.get(node))
                    .map(runs -> runs.plus(report.modelReports())))
        .ifPresent(runs -> runsByNode.put(node, runs));
    for (ModelReport model : report.modelReports()) {
      if (model.arrivals() == 0) {
        continue;
      }
      Rate before = rateByModel.getOrDefault(model.key(), new Rate(0, nowMillis, 0));
      double added = model.arrivals() * MILLIS_PER_SECOND / RATE_TIME_CONSTANT_MILLIS;
      rateByModel.put(
          model.key(),
          new Rate(
              before.decayedTo(nowMillis) + added,
              nowMillis,
              before.requestCount() + model.arrivals()));
    }
  }

  /** Returns the number of nodes whose last report is not outdated. */
  int reportingNodes() {
    removeOutdated();
    return reportByNode.size();
  }

  /** Returns the demand for each model of a service, over all nodes. */
  Map<ModelRef, ModelDemand> demandByModel(String service) {
    removeOutdated();
    long nowMillis = clock.millis();
    Map<ModelRef, ModelDemand> demand = new HashMap<>();
    rateByModel.forEach(
        (key, rate) -> {
          if (key.service().equals(service)) {
            demand.put(
                key.ref(),
                new ModelDemand(
                    0, 0, Long.MAX_VALUE, rate.decayedTo(nowMillis), rate.requestCount()));
          }
        });
    addRuns(service, demand);
    for (ReceivedReport received : reportByNode.values()) {
      for (ModelReport model : received.report().modelReports()) {
        if (model.key().service().equals(service)) {
          demand.merge(
              model.key().ref(),
              new ModelDemand(
                  model.waiting(),
                  model.meetable(),
                  model.earliestDeadlineMillis(),
                  0,
                  0,
                  model.classes()),
              ModelDemand::plus);
        }
      }
    }
    return demand;
  }

  /**
   * Adds the runs of adapters. While a node has not listed its own, each adapter that was asked for
   * lately may be in use there.
   */
  private void addRuns(String service, Map<ModelRef, ModelDemand> demand) {
    if (!runsByNode.keySet().containsAll(reportByNode.keySet())) {
      List.copyOf(demand.keySet()).stream()
          .filter(ModelRef::isAdapter)
          .forEach(
              ref ->
                  demand.merge(ref, ModelDemand.ofRuns(AdapterRuns.unknown(1)), ModelDemand::plus));
    }
    for (NodeRuns runs : runsByNode.values()) {
      runs.runsByAdapter()
          .forEach(
              (key, adapterRuns) -> {
                if (key.service().equals(service)) {
                  demand.merge(key.ref(), ModelDemand.ofRuns(adapterRuns), ModelDemand::plus);
                }
              });
    }
  }

  /** Returns the requests in flight at each server that has any, over all nodes. */
  Map<String, Integer> outstandingByServer() {
    removeOutdated();
    Map<String, Integer> total = new HashMap<>();
    for (ReceivedReport received : reportByNode.values()) {
      received
          .report()
          .outstandingByServer()
          .forEach((server, count) -> total.merge(server, count, Integer::sum));
    }
    return total;
  }

  private void removeOutdated() {
    long nowMillis = clock.millis();
    reportByNode.values().removeIf(r -> nowMillis - r.receivedMillis() > MAX_REPORT_AGE_MILLIS);
    runsByNode.keySet().retainAll(reportByNode.keySet());
    rateByModel.values().removeIf(rate -> rate.decayedTo(nowMillis) < NEGLIGIBLE_RATE_PER_SECOND);
  }
}
