package io.nutmegseam.standin.measure;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** Works out the figures of a run. */
final class ResultCalculator {
  private static final long MAX_MILLIS = 600_000;
  private static final int DIGITS = 3;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double PERCENT = 100;
  private static final double MEBIBYTE = 1 << 20;
  private static final double[] PERCENTILES = {50, 95, 99, 99.9};

  private ResultCalculator() {}

  /** What was counted during a run. */
  record RunTotals(
      EngineTotals engines,
      NodeTotals nodes,
      TableTotals table,
      double idleWhileWaitingMillis,
      double elapsedSeconds) {}

  static MeasurementResult calculate(
      String label, int seconds, int nodes, List<RequestOutcome> outcomes, RunTotals counted) {
    EngineTotals engines = counted.engines();
    NodeTotals spent = counted.nodes();
    double spentSeconds = counted.elapsedSeconds();
    List<RequestOutcome> cold = select(outcomes, o -> o.cold());
    Map<String, Double> sent = new TreeMap<>();
    spent
        .sentBytesByKind()
        .forEach((kind, bytes) -> sent.put(kind, round(bytes / nodes / spentSeconds)));
    long wakes = cold.stream().map(o -> o.arrival().unit()).distinct().count();
    int late = select(outcomes, ResultCalculator::isLate).size();
    int whole = select(outcomes, RequestOutcome::whole).size();
    return new MeasurementResult(
        label,
        seconds,
        nodes,
        outcomes.size(),
        whole,
        late,
        refusals(outcomes),
        cold.size(),
        percentiles(cold),
        percentiles(select(outcomes, o -> !o.cold() && !o.arrival().isPayment())),
        engines.loads(),
        round((double) engines.loads() / Math.max(1, wakes)),
        engines.unusedLoads(),
        round(engines.idleMillis() / MILLIS_PER_SECOND),
        round(counted.idleWhileWaitingMillis() / MILLIS_PER_SECOND),
        round(engines.busyMillis() / MILLIS_PER_SECOND),
        engines.overcommits(),
        round((double) (whole - late) / seconds),
        round(spent.controlCpuSeconds() / nodes / spentSeconds * PERCENT),
        round(spent.residentBytes() / MEBIBYTE / nodes),
        round(spent.sentBytes() / nodes / spentSeconds),
        sent,
        spent.heapKibibytes(),
        round(counted.table().reads() / spentSeconds),
        round(counted.table().commits() / spentSeconds));
  }

  private static boolean isLate(RequestOutcome outcome) {
    long deadlineMillis = LoadDriver.deadlineMillis(outcome.arrival().interactive());
    return outcome.whole() && outcome.doneMillis() > deadlineMillis;
  }

  private static Map<String, Integer> refusals(List<RequestOutcome> outcomes) {
    Map<String, Integer> refusals = new TreeMap<>();
    outcomes.stream()
        .filter(o -> !o.errorKind().isEmpty())
        .forEach(o -> refusals.merge(o.errorKind(), 1, Integer::sum));
    return refusals;
  }

  /** A cold request without a first token counts with the time of its refusal or its end. */
  private static Map<String, Long> percentiles(List<RequestOutcome> outcomes) {
    Histogram histogram = new Histogram(MAX_MILLIS, DIGITS);
    for (RequestOutcome outcome : outcomes) {
      if (outcome.firstTokenMillis() >= 0) {
        histogram.recordValue(Math.min(outcome.firstTokenMillis(), MAX_MILLIS));
      }
    }
    Map<String, Long> percentiles = new LinkedHashMap<>();
    for (double percentile : PERCENTILES) {
      percentiles.put("p" + percentile, histogram.getValueAtPercentile(percentile));
    }
    return percentiles;
  }

  private static List<RequestOutcome> select(
      List<RequestOutcome> outcomes, Predicate<RequestOutcome> wanted) {
    return outcomes.stream().filter(wanted).toList();
  }

  private static double round(double value) {
    return Math.round(value * 100) / 100.0;
  }
}
