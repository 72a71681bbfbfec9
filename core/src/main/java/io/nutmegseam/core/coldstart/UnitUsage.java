package io.nutmegseam.core.coldstart;

/**
 * How a loaded unit is used on one server.
 *
 * @param running requests that run now
 * @param ratePerSecond smoothed rate of requests
 * @param lastUsedMillis monotonic time of the last known use
 * @param loadedAtMillis monotonic time at which the unit was first seen loaded
 * @param reloadMillis expected time to load it again, in milliseconds
 * @param acceleratorShare accelerators that it holds, as a number of accelerators
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
   * Returns the rate at which new requests are expected. A long silence lowers it.
   *
   * @param nowMillis monotonic time
   */
  public double expectedRatePerSecond(long nowMillis) {
    double silenceSeconds = Math.max(nowMillis - lastUsedMillis, 1) / MILLIS_PER_SECOND;
    return Math.min(ratePerSecond, 1.0 / silenceSeconds);
  }

  /**
   * Returns the cold-start seconds that keeping the unit is expected to save, per second and
   * accelerator.
   *
   * @param nowMillis monotonic time
   */
  public double savingPerAccelerator(long nowMillis) {
    double reloadSeconds = reloadMillis / MILLIS_PER_SECOND;
    return expectedRatePerSecond(nowMillis) * reloadSeconds / Math.max(acceleratorShare, 1e-6);
  }
}
