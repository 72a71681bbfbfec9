package io.nutmegseam.core.orders;

/**
 * A load from the weight store that is in flight. Immutable.
 *
 * @param server the server that loads
 * @param model name of the model
 * @param startMillis monotonic time of its start
 * @param uncontendedMillis its duration without parallel loads
 * @param parallelAtStart number of loads in flight when it started, with itself
 * @param accepted whether its server is known to have accepted it
 * @param explained whether all loads in flight at its start were known
 * @param totalLoadMillisAtStart accumulated time of all loads up to its start
 * @param lastSeenMillis monotonic time at which its server was last seen to load
 */
record StoreLoad(
    String server,
    String model,
    long startMillis,
    long uncontendedMillis,
    int parallelAtStart,
    boolean accepted,
    boolean explained,
    double totalLoadMillisAtStart,
    long lastSeenMillis) {
  /** Returns the load after its server was seen to load. */
  StoreLoad seenAt(long nowMillis) {
    return new StoreLoad(
        server,
        model,
        startMillis,
        uncontendedMillis,
        parallelAtStart,
        true,
        explained,
        totalLoadMillisAtStart,
        nowMillis);
  }

  /**
   * Returns its expected duration, in milliseconds.
   *
   * @param fullSpeedLoads number of parallel loads that the store serves at full speed
   */
  long expectedMillis(int fullSpeedLoads) {
    double slowdown = Math.max(1, (double) parallelAtStart / fullSpeedLoads);
    return Math.round(uncontendedMillis * slowdown);
  }
}
