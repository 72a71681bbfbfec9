package io.nutmegseam.core.coldstart;

/**
 * The usage of a loaded unit on one server.
 *
 * @param running number of requests that run now
 * @param ratePerSecond smoothed rate of new requests
 * @param lastUsedMillis monotonic time of the last observed use
 * @param loadedAtMillis monotonic time at which the unit was first observed as loaded
 * @param reloadMillis expected time to load it again, in milliseconds
 * @param acceleratorShare number of accelerators that it occupies; may be a fraction
 */
public record UnitUsage(
    int running,
    double ratePerSecond,
    long lastUsedMillis,
    long loadedAtMillis,
    long reloadMillis,
    double acceleratorShare) {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  /**
   * Returns the expected rate of new requests: the smoothed rate, but at most one request per time
   * since the last use, so that the rate falls while no requests arrive.
   *
   * @param nowMillis monotonic time
   */
  public double expectedRatePerSecond(long nowMillis) {
    double idleSeconds = Math.max(nowMillis - lastUsedMillis, 1) / MILLIS_PER_SECOND;
    return Math.min(ratePerSecond, 1.0 / idleSeconds);
  }

  /**
   * Returns the cold-start seconds that keeping the unit loaded is expected to save, per second and
   * occupied accelerator.
   *
   * @param nowMillis monotonic time
   */
  public double savingPerAccelerator(long nowMillis) {
    double reloadSeconds = reloadMillis / MILLIS_PER_SECOND;
    return expectedRatePerSecond(nowMillis) * reloadSeconds / Math.max(acceleratorShare, 1e-6);
  }
}
