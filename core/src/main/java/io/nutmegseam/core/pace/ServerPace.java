package io.nutmegseam.core.pace;

/** How much slower a server is than its service, and what it last said of its speed itself. */
final class ServerPace {
  /** Time after which the deviation of a server from its service counts half. */
  private static final double HALF_LIFE_MILLIS = 4_000;

  /** Servers change their reported factor many times a second; an older one says nothing. */
  private static final long MAX_FACTOR_AGE_MILLIS = 400;

  /** Weight of one measurement against the earlier ones. */
  private static final double STEP = 0.4;

  /** Bounds of a ratio, so that one stalled request doesn't exclude a server for long. */
  private static final double MIN_RATIO = 0.25;

  private static final double MAX_RATIO = 8;

  /** Shared ratios come each second; an older one is of a holder that has gone or a lost update. */
  private static final long MAX_SHARED_AGE_MILLIS = 3_000;

  private double sharedRatio = 1;
  private long sharedMillis = Long.MIN_VALUE / 2;
  private double logRatio;
  private long measuredMillis;
  private double factor = 1;
  private long factorMillis = Long.MIN_VALUE / 2;

  /** Adds a measured time relative to the time that the service's fit gives. */
  void add(double ratio, long nowMillis) {
    double bounded = Math.min(Math.max(ratio, MIN_RATIO), MAX_RATIO);
    logRatio = decayed(nowMillis) * (1 - STEP) + Math.log(bounded) * STEP;
    measuredMillis = nowMillis;
  }

  /** Sets how much longer than usual work takes at the server now, as it says. */
  void setFactor(double newFactor, long nowMillis) {
    factor = Math.min(Math.max(newFactor, MIN_RATIO), MAX_RATIO);
    factorMillis = nowMillis;
  }

  /** Returns the reported factor; 1 if there is no recent one. */
  double factor(long nowMillis) {
    return nowMillis - factorMillis <= MAX_FACTOR_AGE_MILLIS ? factor : 1;
  }

  /** Sets the ratio that all nodes together have measured. */
  void setShared(double ratio, long nowMillis) {
    sharedRatio = Math.min(Math.max(ratio, MIN_RATIO), MAX_RATIO);
    sharedMillis = nowMillis;
  }

  /**
   * Returns the ratio to the service, without the reported factor: that of all nodes, or else what
   * this node has learnt.
   */
  double ratio(long nowMillis) {
    boolean shared = nowMillis - sharedMillis <= MAX_SHARED_AGE_MILLIS;
    return shared ? sharedRatio : Math.exp(decayed(nowMillis));
  }

  /** Returns when the server was last measured or reported a factor. */
  long updatedMillis() {
    return Math.max(sharedMillis, Math.max(measuredMillis, factorMillis));
  }

  private double decayed(long nowMillis) {
    return logRatio * Math.pow(0.5, Math.max(0, nowMillis - measuredMillis) / HALF_LIFE_MILLIS);
  }
}
