package io.nutmegseam.core.tenant;

/**
 * The two clocks of a node at one moment. The monotonic clock stands still while the process is
 * frozen; the time of day can be set.
 *
 * @param monotonicMillis monotonic time
 * @param wallMillis time of day
 */
public record ClockReading(long monotonicMillis, long wallMillis) {
  /** Returns the time since an earlier reading, by the clock that has advanced further. */
  long elapsedMillisSince(ClockReading earlier) {
    return Math.max(
        0, Math.max(monotonicMillis - earlier.monotonicMillis, wallMillis - earlier.wallMillis));
  }

  /** Returns by how much the time of day is ahead of the monotonic clock. */
  long offsetMillis() {
    return wallMillis - monotonicMillis;
  }
}
