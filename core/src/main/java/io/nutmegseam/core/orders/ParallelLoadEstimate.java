package io.nutmegseam.core.orders;

/**
 * Estimates how many parallel loads the weight store serves at full speed, from the duration of
 * loads. Confined to one thread.
 */
final class ParallelLoadEstimate {
  /**
   * A load that takes longer than this multiple of its uncontended duration shares the store with
   * too many loads.
   */
  private static final double SLOW_RATIO = 1.25;

  /**
   * A load that takes longer than this multiple of what the present estimate explains is slow
   * because of its server. An estimate that is twice too high explains the double duration.
   */
  static final double SERVER_FAULT_RATIO = 2.2;

  /** A load that takes less than this share of its uncontended duration was not a store load. */
  private static final double MIN_DURATION_RATIO = 0.75;

  /** Limit of parallel loads until the first estimate. */
  private static final int INITIAL_PARALLEL_LOADS = 2;

  /** Growth of the estimate with each step; a store that is full slows the added loads down. */
  private static final double GROWTH_FACTOR = 1.5;

  /** After loads slowed one another down, the limit is not raised for this time. */
  private static final long GROWTH_PAUSE_MILLIS = 120_000;

  /** Maximum delay with which reports show the end of a load. */
  private static final long REPORT_LAG_MILLIS = 600;

  private final int maxParallelLoads;

  /** Number of parallel loads that the next step tries. */
  private int parallelLoads;

  /** Number of parallel loads that were seen to run at full speed; at most the estimate. */
  private int provenParallelLoads;

  /** The same without the assumption that precedes the first loads. */
  private int seenParallelLoads = 1;

  private long growthAllowedFromMillis = Long.MIN_VALUE / 2;

  /**
   * Creates an estimate without observations.
   *
   * @param maxParallelLoads upper bound of the number of parallel loads
   */
  ParallelLoadEstimate(int maxParallelLoads) {
    this.maxParallelLoads = maxParallelLoads;
    this.parallelLoads = Math.min(INITIAL_PARALLEL_LOADS, maxParallelLoads);
    this.provenParallelLoads = parallelLoads;
  }

  /** Returns the number of parallel loads that the next step tries. */
  int parallelLoads() {
    return parallelLoads;
  }

  /** Returns the number of parallel loads that were seen to run at full speed. */
  int provenParallelLoads() {
    return provenParallelLoads;
  }

  /**
   * Returns the monotonic time at which a load must have ended.
   *
   * @param load a load whose end is not observed
   */
  long latestEndMillis(StoreLoad load) {
    return load.startMillis() + load.expectedMillis(seenParallelLoads);
  }

  /** Returns the monotonic time from which the estimate may be raised. */
  long growthAllowedFromMillis() {
    return growthAllowedFromMillis;
  }

  /**
   * Replaces the estimate with that of another process.
   *
   * @param fullSpeedLoads number of parallel loads that were seen to run at full speed
   * @param growthFromMillis monotonic time from which the estimate may be raised
   * @param nowMillis monotonic time
   */
  void restore(int fullSpeedLoads, long growthFromMillis, long nowMillis) {
    parallelLoads = Math.max(1, Math.min(maxParallelLoads, fullSpeedLoads));
    provenParallelLoads = parallelLoads;
    growthAllowedFromMillis = Math.min(nowMillis + GROWTH_PAUSE_MILLIS, growthFromMillis);
  }

  /**
   * Updates the estimate from a load that has ended or was seen to go on.
   *
   * @param load the load
   * @param meanParallelLoads mean number of loads in flight since it started
   * @param done whether it has ended
   * @param nowMillis monotonic time
   */
  void update(StoreLoad load, double meanParallelLoads, boolean done, long nowMillis) {
    // A store may set the speed of a load when it starts, or change it with the loads in flight.
    double mostParallelLoads = Math.max(load.parallelAtStart(), meanParallelLoads);
    long elapsedMillis = Math.max(1, nowMillis - load.startMillis());
    long uncontendedMillis = load.uncontendedMillis();
    long minDurationMillis =
        Math.max(1, load.lastSeenMillis() - load.startMillis() - REPORT_LAG_MILLIS);
    double explainedMillis = uncontendedMillis * Math.max(1, mostParallelLoads / parallelLoads);
    if (minDurationMillis > SERVER_FAULT_RATIO * explainedMillis) {
      return;
    }
    if (minDurationMillis > SLOW_RATIO * uncontendedMillis) {
      int fullSpeedLoads =
          (int) Math.round(mostParallelLoads * uncontendedMillis / minDurationMillis);
      // A load in flight may be slow because of its server; others then end in time.
      int lowest = done ? 1 : Math.min(parallelLoads, INITIAL_PARALLEL_LOADS);
      parallelLoads = Math.max(lowest, Math.min(parallelLoads, fullSpeedLoads));
      provenParallelLoads = Math.min(provenParallelLoads, parallelLoads);
      seenParallelLoads = Math.min(seenParallelLoads, parallelLoads);
      growthAllowedFromMillis = nowMillis + GROWTH_PAUSE_MILLIS;
    } else if (done && isFullSpeed(elapsedMillis, uncontendedMillis)) {
      onFullSpeed(Math.min(load.parallelAtStart(), meanParallelLoads), nowMillis);
    }
  }

  private static boolean isFullSpeed(long elapsedMillis, long uncontendedMillis) {
    return elapsedMillis >= MIN_DURATION_RATIO * uncontendedMillis
        && elapsedMillis - REPORT_LAG_MILLIS <= SLOW_RATIO * uncontendedMillis;
  }

  private void onFullSpeed(double loads, long nowMillis) {
    int fullSpeedLoads = Math.min(parallelLoads, (int) Math.round(loads));
    provenParallelLoads = Math.max(provenParallelLoads, fullSpeedLoads);
    seenParallelLoads = Math.max(seenParallelLoads, fullSpeedLoads);
    if (loads > parallelLoads - 1) {
      raise(nowMillis);
    }
  }

  /** Raises the estimate by one step, unless one is under way already. */
  void onNoDemand(long nowMillis) {
    if (parallelLoads == provenParallelLoads) {
      raise(nowMillis);
    }
  }

  private void raise(long nowMillis) {
    if (nowMillis >= growthAllowedFromMillis) {
      int grown = Math.max(parallelLoads + 1, (int) (GROWTH_FACTOR * parallelLoads));
      parallelLoads = Math.min(maxParallelLoads, grown);
    }
  }
}
