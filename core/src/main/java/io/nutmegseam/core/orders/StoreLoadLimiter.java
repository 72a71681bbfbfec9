package io.nutmegseam.core.orders;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the loads from the weight store: their rate over a sliding window, and the number of
 * parallel loads. The store does not report how many parallel loads it serves at full speed, so the
 * limiter estimates that number from the duration of loads. Confined to one thread.
 */
public final class StoreLoadLimiter {
  /**
   * A load that takes longer than this multiple of its uncontended duration shares the store with
   * too many loads.
   */
  private static final double SLOW_RATIO = 1.25;

  /**
   * A load that takes longer than this multiple of what the present estimate explains is slow
   * because of its server. An estimate that is twice too high explains the double duration.
   */
  private static final double SERVER_FAULT_RATIO = 2.2;

  /** Limit of parallel loads until the first estimate. */
  private static final int INITIAL_PARALLEL_LOADS = 2;

  private static final int GROWTH_FACTOR = 2;

  /** After loads slowed one another down, the limit is not raised for this time. */
  private static final long GROWTH_PAUSE_MILLIS = 120_000;

  /** Maximum delay with which reports show the end of a load. */
  private static final long REPORT_LAG_MILLIS = 600;

  private final int maxParallelLoads;
  private final long windowMillis;
  private final Deque<Long> startTimesMillis = new ArrayDeque<>();
  private final Map<Object, Load> loadByServer = new HashMap<>();
  private int parallelLoads;
  private long growthAllowedFromMillis = Long.MIN_VALUE;
  private int runningLoads;
  private long runningUpdatedMillis;
  private double totalLoadMillis;

  /** A load in flight: its start, and the accumulated time of all loads up to then. */
  private record Load(long startMillis, double totalLoadMillisAtStart) {}

  /**
   * Creates a limiter.
   *
   * @param maxParallelLoads upper bound of the number of parallel loads
   * @param windowMillis length of the sliding window, in milliseconds
   */
  public StoreLoadLimiter(int maxParallelLoads, long windowMillis) {
    this.maxParallelLoads = maxParallelLoads;
    this.windowMillis = windowMillis;
    this.parallelLoads = Math.min(INITIAL_PARALLEL_LOADS, maxParallelLoads);
  }

  /**
   * Records the start of a load.
   *
   * @param server the server that loads
   * @param nowMillis monotonic time
   */
  public void onStarted(Object server, long nowMillis) {
    onRunningCount(runningLoads + 1, nowMillis);
    startTimesMillis.addLast(nowMillis);
    loadByServer.put(server, new Load(nowMillis, totalLoadMillis));
  }

  /** Records how many loads run now. */
  public void onRunningCount(int loads, long nowMillis) {
    totalLoadMillis += (double) runningLoads * (nowMillis - runningUpdatedMillis);
    runningUpdatedMillis = nowMillis;
    runningLoads = loads;
  }

  /**
   * Updates the estimate from a load that is still in flight.
   *
   * @param server the server that loads
   * @param uncontendedMillis duration of the load without parallel loads, in milliseconds
   * @param nowMillis monotonic time
   */
  public void onProgress(Object server, long uncontendedMillis, long nowMillis) {
    Load load = loadByServer.get(server);
    if (load != null) {
      updateParallelLoads(load, uncontendedMillis, nowMillis, false);
    }
  }

  /**
   * Updates the estimate from a completed load.
   *
   * @param server the server that has loaded
   * @param uncontendedMillis duration of the load without parallel loads, in milliseconds
   * @param nowMillis monotonic time
   */
  public void onDone(Object server, long uncontendedMillis, long nowMillis) {
    Load load = loadByServer.remove(server);
    if (load != null) {
      updateParallelLoads(load, uncontendedMillis, nowMillis, true);
    }
  }

  private void updateParallelLoads(
      Load load, long uncontendedMillis, long nowMillis, boolean done) {
    onRunningCount(runningLoads, nowMillis);
    long elapsedMillis = Math.max(1, nowMillis - load.startMillis());
    double meanParallelLoads = (totalLoadMillis - load.totalLoadMillisAtStart()) / elapsedMillis;
    long minDurationMillis = Math.max(1, elapsedMillis - REPORT_LAG_MILLIS);
    double explainedMillis = uncontendedMillis * Math.max(1, meanParallelLoads / parallelLoads);
    if (minDurationMillis > SERVER_FAULT_RATIO * explainedMillis) {
      return;
    }
    if (minDurationMillis > SLOW_RATIO * uncontendedMillis) {
      int fullSpeedLoads =
          (int) Math.round(meanParallelLoads * uncontendedMillis / minDurationMillis);
      // A load in flight may be slow because of its server; others then end in time.
      int lowest = done ? 1 : Math.min(parallelLoads, INITIAL_PARALLEL_LOADS);
      parallelLoads = Math.max(lowest, Math.min(parallelLoads, fullSpeedLoads));
      growthAllowedFromMillis = nowMillis + GROWTH_PAUSE_MILLIS;
    } else if (done
        && meanParallelLoads > parallelLoads - 1
        && nowMillis >= growthAllowedFromMillis) {
      parallelLoads = Math.min(maxParallelLoads, GROWTH_FACTOR * parallelLoads);
    }
  }

  /** Returns the estimated number of parallel loads that run at full speed. */
  public int parallelLoads() {
    return parallelLoads;
  }

  /** Returns the expected duration of a load in parallel with the running ones, in milliseconds. */
  public long expectedMillis(long uncontendedMillis) {
    return Math.round(uncontendedMillis * Math.max(1, (double) runningLoads / parallelLoads));
  }

  /**
   * Returns how many more loads may start now.
   *
   * @param loadsPerSecond rate limit of the weight store
   * @param nowMillis monotonic time
   */
  public int allowedLoads(double loadsPerSecond, long nowMillis) {
    while (!startTimesMillis.isEmpty()
        && nowMillis - startTimesMillis.peekFirst() >= windowMillis) {
      startTimesMillis.pollFirst();
    }
    int allowedByRate = loadsPerWindow(loadsPerSecond) - startTimesMillis.size();
    return Math.max(0, Math.min(parallelLoads - runningLoads, allowedByRate));
  }

  private int loadsPerWindow(double loadsPerSecond) {
    return (int) Math.floor(loadsPerSecond * windowMillis / 1_000);
  }
}
