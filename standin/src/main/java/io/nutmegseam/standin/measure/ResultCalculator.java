package io.nutmegseam.standin.measure;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * Computes the figures of a run from the outcomes of its requests and the differences of counters.
 */
final class ResultCalculator {
  private static final long MAX_RECORDED_MILLIS = 600_000;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double PERCENT = 100;
  private static final double BYTES_PER_MEBIBYTE = 1 << 20;
  private static final double[] PERCENTILES = {50, 95, 99, 99.9};

  private ResultCalculator() {}

  /** Differences between the totals after and before a run, and the length of the run. */
  record RunTotals(
      EngineTotals engines,
      NodeTotals nodes,
      TableTotals table,
      double idleWhileWaitingMillis,
      double elapsedSeconds) {}

  static MeasurementResult calculate(
      String label, int seconds, int nodes, List<RequestOutcome> outcomes, RunTotals totals) {
    EngineTotals engineTotals = totals.engines();
    NodeTotals nodeTotals = totals.nodes();
    double elapsedSeconds = totals.elapsedSeconds();
    List<RequestOutcome> coldOutcomes = select(outcomes, o -> o.cold());
    Map<String, Double> sentBytesPerSecondByKind = new TreeMap<>();
    nodeTotals
        .sentBytesByKind()
        .forEach(
            (kind, bytes) ->
                sentBytesPerSecondByKind.put(kind, round(bytes / nodes / elapsedSeconds)));
    long unitsWithColdRequest =
        coldOutcomes.stream().map(o -> o.arrival().unit()).distinct().count();
    int late = select(outcomes, ResultCalculator::isLate).size();
    int complete = select(outcomes, RequestOutcome::whole).size();
    return new MeasurementResult(
        label,
        seconds,
        nodes,
        outcomes.size(),
        complete,
        late,
        errorCounts(outcomes),
        coldOutcomes.size(),
        percentiles(coldOutcomes),
        percentiles(select(outcomes, o -> !o.cold() && !o.arrival().isPayment())),
        engineTotals.loads(),
        round((double) engineTotals.loads() / Math.max(1, unitsWithColdRequest)),
        engineTotals.unusedLoads(),
        round(engineTotals.idleMillis() / MILLIS_PER_SECOND),
        round(totals.idleWhileWaitingMillis() / MILLIS_PER_SECOND),
        round(engineTotals.busyMillis() / MILLIS_PER_SECOND),
        engineTotals.overcommits(),
        round((double) (complete - late) / seconds),
        round(nodeTotals.controlCpuSeconds() / nodes / elapsedSeconds * PERCENT),
        round(nodeTotals.residentBytes() / BYTES_PER_MEBIBYTE / nodes),
        round(nodeTotals.sentBytes() / nodes / elapsedSeconds),
        sentBytesPerSecondByKind,
        nodeTotals.heapKibibytes(),
        round(totals.table().reads() / elapsedSeconds),
        round(totals.table().commits() / elapsedSeconds));
  }

  private static boolean isLate(RequestOutcome outcome) {
    long deadlineMillis = LoadDriver.deadlineMillis(outcome.arrival().interactive());
    return outcome.whole() && outcome.doneMillis() > deadlineMillis;
  }

  private static Map<String, Integer> errorCounts(List<RequestOutcome> outcomes) {
    Map<String, Integer> errorCounts = new TreeMap<>();
    outcomes.stream()
        .filter(o -> !o.errorKind().isEmpty())
        .forEach(o -> errorCounts.merge(o.errorKind(), 1, Integer::sum));
    return errorCounts;
  }

  /**
   * Computes percentiles of the time to the first token; ignores requests that received no token.
   */
  private static Map<String, Long> percentiles(List<RequestOutcome> outcomes) {
    Histogram histogram = new Histogram(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);
    for (RequestOutcome outcome : outcomes) {
      if (outcome.firstTokenMillis() >= 0) {
        histogram.recordValue(Math.min(outcome.firstTokenMillis(), MAX_RECORDED_MILLIS));
      }
    }
    Map<String, Long> percentiles = new LinkedHashMap<>();
    for (double percentile : PERCENTILES) {
      percentiles.put("p" + percentile, histogram.getValueAtPercentile(percentile));
    }
    return percentiles;
  }

  private static List<RequestOutcome> select(
      List<RequestOutcome> outcomes, Predicate<RequestOutcome> condition) {
    return outcomes.stream().filter(condition).toList();
  }

  private static double round(double value) {
    return Math.round(value * 100) / 100.0;
  }
}
