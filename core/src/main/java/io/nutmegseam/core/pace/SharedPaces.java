package io.nutmegseam.core.pace;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Joins the ratios of servers that all nodes have measured. Not thread-safe. */
public final class SharedPaces {
  /** Only servers that differ from the mean by this factor are worth their bytes. */
  private static final double MIN_LOG_DIFFERENCE = Math.log(1.2);

  /** The servers that differ most; 128 entries take about 2.5 KB. */
  private static final int MAX_SERVERS = 128;

  /** Time after which a measurement has half its weight. */
  private static final double HALF_LIFE_MILLIS = 3_000;

  /** The mean of fewer measurements tells more of the requests than of the server. */
  private static final double MIN_WEIGHT = 2;

  private static final double NEGLIGIBLE_WEIGHT = 0.05;

  private final Map<String, Mean> meanByServer = new HashMap<>();

  private record Mean(double logSum, double weight, long atMillis) {
    Mean decayedTo(long nowMillis) {
      double decay = Math.pow(0.5, Math.max(0, nowMillis - atMillis) / HALF_LIFE_MILLIS);
      return new Mean(logSum * decay, weight * decay, nowMillis);
    }

    Mean plus(RatioSum sum) {
      return new Mean(logSum + sum.logSum(), weight + sum.count(), atMillis);
    }

    double log() {
      return logSum / weight;
    }
  }

  /** Adds the measurements of a node. */
  public void onReport(Map<String, RatioSum> sums, long nowMillis) {
    sums.forEach(
        (server, sum) ->
            meanByServer.put(
                server,
                meanByServer
                    .getOrDefault(server, new Mean(0, 0, nowMillis))
                    .decayedTo(nowMillis)
                    .plus(sum)));
  }

  /** Returns the ratios of the servers that differ noticeably from the mean of all. */
  public Map<String, Double> differing(long nowMillis) {
    meanByServer.replaceAll((server, mean) -> mean.decayedTo(nowMillis));
    meanByServer.values().removeIf(mean -> mean.weight() < NEGLIGIBLE_WEIGHT);
    double center =
        meanByServer.values().stream()
            .filter(mean -> mean.weight() >= MIN_WEIGHT)
            .mapToDouble(Mean::log)
            .average()
            .orElse(0);
    Map<String, Double> differing = new LinkedHashMap<>();
    meanByServer.entrySet().stream()
        .filter(e -> e.getValue().weight() >= MIN_WEIGHT)
        .filter(e -> difference(e.getValue(), center) >= MIN_LOG_DIFFERENCE)
        .sorted(
            Comparator.comparingDouble(
                (Map.Entry<String, Mean> e) -> -difference(e.getValue(), center)))
        .limit(MAX_SERVERS)
        .forEach(e -> differing.put(e.getKey(), Math.exp(e.getValue().log())));
    return differing;
  }

  private static double difference(Mean mean, double center) {
    return Math.abs(mean.log() - center);
  }
}
