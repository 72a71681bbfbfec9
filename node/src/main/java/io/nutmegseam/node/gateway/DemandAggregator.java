package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.orders.ModelDemand;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Adds up what all nodes are asked for. Confined to the control thread. */
final class DemandAggregator {
  /** Time constant of the mean request rate. */
  private static final double MEAN_MILLIS = 4_000;

  /** A node's report counts no longer if the next one does not come. */
  private static final long REPORT_LIFE_MILLIS = 1_500;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double NEGLIGIBLE_RATE = 1e-4;

  private final InstantSource clock;
  private final Map<String, Dated> reportByNode = new HashMap<>();
  private final Map<ModelWaitQueue.Key, Rate> rateByModel = new HashMap<>();

  /**
   * What one node is asked for.
   *
   * @param key the model
   * @param waiting requests that wait for it
   * @param meetable those of them that a swap would still answer within their target
   * @param earliestDeadlineMillis monotonic time until which the first of them can wait
   * @param arrivals requests since the last report
   */
  record ModelReport(
      ModelWaitQueue.Key key,
      int waiting,
      int meetable,
      long earliestDeadlineMillis,
      int arrivals) {}

  /**
   * What one node is asked for, and its requests that are under way.
   *
   * @param modelReports the models it is asked for
   * @param outstandingByServer requests under way at each server that has any
   */
  record Report(List<ModelReport> modelReports, Map<String, Integer> outstandingByServer) {
    Report {
      modelReports = List.copyOf(modelReports);
      outstandingByServer = Map.copyOf(outstandingByServer);
    }
  }

  private record Dated(Report report, long atMillis) {}

  private record Rate(double perSecond, long atMillis) {
    double at(long nowMillis) {
      return perSecond * Math.exp(-(nowMillis - atMillis) / MEAN_MILLIS);
    }
  }

  /**
   * Creates an empty book.
   *
   * @param clock monotonic clock
   */
  DemandAggregator(InstantSource clock) {
    this.clock = clock;
  }

  /** Takes a node's report in place of its last one. */
  void onReport(String node, Report report) {
    long nowMillis = clock.millis();
    reportByNode.put(node, new Dated(report, nowMillis));
    for (ModelReport ask : report.modelReports()) {
      Rate before = rateByModel.getOrDefault(ask.key(), new Rate(0, nowMillis));
      double added = ask.arrivals() * MILLIS_PER_SECOND / MEAN_MILLIS;
      rateByModel.put(ask.key(), new Rate(before.at(nowMillis) + added, nowMillis));
    }
  }

  /** Returns the number of nodes whose reports count. */
  int reportingNodes() {
    dropOld();
    return reportByNode.size();
  }

  /** Returns the demand for the models of a service. */
  Map<ModelRef, ModelDemand> demandByModel(String service) {
    dropOld();
    long nowMillis = clock.millis();
    Map<ModelRef, ModelDemand> demand = new HashMap<>();
    rateByModel.forEach(
        (key, rate) -> {
          if (key.service().equals(service)) {
            demand.put(key.ref(), new ModelDemand(0, 0, Long.MAX_VALUE, rate.at(nowMillis)));
          }
        });
    for (Dated dated : reportByNode.values()) {
      for (ModelReport ask : dated.report().modelReports()) {
        if (ask.key().service().equals(service)) {
          demand.merge(
              ask.key().ref(),
              new ModelDemand(ask.waiting(), ask.meetable(), ask.earliestDeadlineMillis(), 0),
              ModelDemand::plus);
        }
      }
    }
    return demand;
  }

  /** Returns the requests of all nodes that are under way at each server. */
  Map<String, Integer> outstandingByServer() {
    dropOld();
    Map<String, Integer> total = new HashMap<>();
    for (Dated dated : reportByNode.values()) {
      dated
          .report()
          .outstandingByServer()
          .forEach((server, count) -> total.merge(server, count, Integer::sum));
    }
    return total;
  }

  private void dropOld() {
    long nowMillis = clock.millis();
    reportByNode.values().removeIf(r -> nowMillis - r.atMillis() > REPORT_LIFE_MILLIS);
    rateByModel.values().removeIf(rate -> rate.at(nowMillis) < NEGLIGIBLE_RATE);
  }
}
