package io.nutmegseam.node.pace;

import io.nutmegseam.core.pace.PaceReports;
import io.nutmegseam.core.pace.RatioSum;
import io.nutmegseam.core.pace.SharedPaces;
import io.nutmegseam.node.peer.generated.FleetDemand;
import io.nutmegseam.node.peer.generated.FleetNews;
import io.nutmegseam.node.peer.generated.ServerPaceNews;
import io.nutmegseam.node.peer.generated.ServerPaceReport;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Shares the measured speeds of servers in the reports to the order lease holder and in its
 * updates. Confined to the control thread.
 */
public final class PaceSharing {
  private static final long INTERVAL_MILLIS = 1_000;

  /** Ratios are sent in thousandths and percent. */
  private static final double LOG_SCALE = 1_000;

  private static final double PERCENT = 100;

  private final PaceReports own;
  private final InstantSource clock;
  private final SharedPaces shared = new SharedPaces();
  private long reportedMillis = Long.MIN_VALUE / 2;
  private long publishedMillis = Long.MIN_VALUE / 2;

  /**
   * Creates a component that has shared nothing.
   *
   * @param own what this node has measured
   * @param clock monotonic clock
   */
  public PaceSharing(PaceReports own, InstantSource clock) {
    this.own = own;
    this.clock = clock;
  }

  /** Adds what this node has measured to its report, at most once in an interval. */
  public FleetDemand addTo(FleetDemand report) {
    if (clock.millis() - reportedMillis < INTERVAL_MILLIS) {
      return report;
    }
    reportedMillis = clock.millis();
    FleetDemand.Builder builder = report.toBuilder();
    own.drain()
        .forEach(
            (server, sum) ->
                builder.addPaces(
                    ServerPaceReport.newBuilder()
                        .setServer(server)
                        .setLogRatioMillis((int) Math.round(sum.logSum() * LOG_SCALE))
                        .setMeasurements(sum.count())));
    return builder.build();
  }

  /** Records the report of another node to this one, which holds the order lease. */
  public void onReport(FleetDemand report) {
    Map<String, RatioSum> sums = new HashMap<>();
    for (ServerPaceReport pace : report.getPacesList()) {
      if (pace.getMeasurements() > 0) {
        double logSum = pace.getLogRatioMillis() / LOG_SCALE;
        sums.merge(pace.getServer(), new RatioSum(logSum, pace.getMeasurements()), RatioSum::plus);
      }
    }
    shared.onReport(sums, clock.millis());
  }

  /** Adds the servers that differ from the mean to an update, at most once in an interval. */
  public FleetNews addTo(FleetNews update) {
    if (clock.millis() - publishedMillis < INTERVAL_MILLIS) {
      return update;
    }
    publishedMillis = clock.millis();
    shared.onReport(own.drain(), clock.millis());
    FleetNews.Builder builder = update.toBuilder();
    shared
        .differing(clock.millis())
        .forEach(
            (server, ratio) ->
                builder.addPaces(
                    ServerPaceNews.newBuilder()
                        .setServer(server)
                        .setPercent((int) Math.round(ratio * PERCENT))));
    return builder.build();
  }

  /** Returns the ratios in an update, by server. */
  public static Map<String, Double> decode(List<ServerPaceNews> paces) {
    Map<String, Double> ratios = new HashMap<>();
    paces.forEach(pace -> ratios.put(pace.getServer(), pace.getPercent() / PERCENT));
    return ratios;
  }
}
