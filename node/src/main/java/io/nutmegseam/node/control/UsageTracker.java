package io.nutmegseam.node.control;

import io.nutmegseam.core.backend.LoadReport;
import io.nutmegseam.core.coldstart.UnitUsage;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Tracks the usage of the loaded units of one backend server from its load reports. */
final class UsageTracker {
  /** Half-life of past samples in the smoothed request rate. */
  private static final double RATE_HALF_LIFE_MILLIS = 60_000;

  /**
   * Initial rate of a unit that was just loaded. While no requests arrive, the idle time lowers the
   * expected rate.
   */
  private static final double INITIAL_RATE_PER_SECOND = 1;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Map<String, UnitStats> statsByUnit = new HashMap<>();

  private static final class UnitStats {
    private final long loadedAtMillis;
    private long lastUsedMillis;
    private long startedCount;
    private int running;
    private double ratePerSecond;
    private long updatedAtMillis;

    private UnitStats(long nowMillis, double ratePerSecond) {
      this.loadedAtMillis = nowMillis;
      this.lastUsedMillis = nowMillis;
      this.updatedAtMillis = nowMillis;
      this.ratePerSecond = ratePerSecond;
    }
  }

  /** The expected time to reload a unit, and its memory as a number of accelerators. */
  record UnitCost(long reloadMillis, double acceleratorShare) {}

  /** Updates the usage from a load report, and drops units that are not loaded any more. */
  void onReport(LoadReport report, Set<String> loaded, long nowMillis) {
    statsByUnit.keySet().retainAll(loaded);
    for (String unit : loaded) {
      UnitStats stats = statsByUnit.computeIfAbsent(unit, k -> newStats(report, unit, nowMillis));
      update(stats, report, unit, nowMillis);
    }
  }

  /** Returns the usage of a unit, or null if it is not loaded. */
  UnitUsage usage(String unit, UnitCost cost) {
    UnitStats stats = statsByUnit.get(unit);
    if (stats == null) {
      return null;
    }
    return new UnitUsage(
        stats.running,
        stats.ratePerSecond,
        stats.lastUsedMillis,
        stats.loadedAtMillis,
        cost.reloadMillis(),
        cost.acceleratorShare());
  }

  Set<String> units() {
    return Set.copyOf(statsByUnit.keySet());
  }

  private static UnitStats newStats(LoadReport report, String unit, long nowMillis) {
    UnitStats stats = new UnitStats(nowMillis, INITIAL_RATE_PER_SECOND);
    stats.startedCount = report.startedByUnit().getOrDefault(unit, 0L);
    return stats;
  }

  private static void update(UnitStats stats, LoadReport report, String unit, long nowMillis) {
    long startedCount = report.startedByUnit().getOrDefault(unit, 0L);
    long newRequestCount = Math.max(0, startedCount - stats.startedCount);
    long elapsedMillis = Math.max(1, nowMillis - stats.updatedAtMillis);
    double decay = Math.pow(0.5, elapsedMillis / RATE_HALF_LIFE_MILLIS);
    double currentRate = newRequestCount * MILLIS_PER_SECOND / elapsedMillis;
    stats.ratePerSecond = stats.ratePerSecond * decay + currentRate * (1 - decay);
    stats.startedCount = startedCount;
    stats.updatedAtMillis = nowMillis;
    stats.running = report.runningByUnit().getOrDefault(unit, 0);
    if (newRequestCount > 0 || stats.running > 0) {
      stats.lastUsedMillis = nowMillis;
    }
  }
}
