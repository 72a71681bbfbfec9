package io.nutmegseam.core.orders;

import java.util.OptionalDouble;

/**
 * The usual duration of requests, as an exponentially weighted mean. Immutable.
 *
 * @param meanMillis the mean in milliseconds; empty as long as no request has ended
 */
public record RunDuration(OptionalDouble meanMillis) {
  /** No request has ended yet. */
  public static final RunDuration UNKNOWN = new RunDuration(OptionalDouble.empty());

  /** Weight of the last duration. */
  private static final double WEIGHT = 0.125;

  /** Returns the duration after another request has ended. */
  public RunDuration plus(long millis) {
    double mean = meanMillis.orElse((double) millis);
    return new RunDuration(OptionalDouble.of(mean + WEIGHT * (millis - mean)));
  }

  /**
   * Returns when a request that runs is expected to end. One that runs for longer than usual is
   * expected to go on for as long again; so is each as long as no request has ended.
   *
   * @param startMillis monotonic time at which it began, in milliseconds
   * @param limitMillis monotonic time at which it has ended at the latest, in milliseconds
   * @param nowMillis monotonic time
   */
  public long expectedEndMillis(long startMillis, long limitMillis, long nowMillis) {
    long usualEndMillis = startMillis + Math.round(meanMillis.orElse(0));
    long overdueMillis = Math.max(0, nowMillis - usualEndMillis);
    return Math.min(limitMillis, Math.max(usualEndMillis, nowMillis + overdueMillis));
  }
}
