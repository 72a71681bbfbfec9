package io.nutmegseam.core.allotment;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that advances by the longer of monotonic time and time of day, since the monotonic clock
 * stands still while the process is frozen. Never goes back. Confined to one thread.
 */
public final class LongerClock implements InstantSource {
  /** Smaller differences between the clocks come from their resolution and from adjustments. */
  private static final long TOLERANCE_MILLIS = 50;

  private final InstantSource monotonic;
  private final InstantSource timeOfDay;
  private long offsetMillis;
  private long addedMillis;

  /**
   * Creates a clock that shows the present monotonic time.
   *
   * @param monotonic monotonic clock
   * @param timeOfDay time of day, which may jump
   */
  public LongerClock(InstantSource monotonic, InstantSource timeOfDay) {
    this.monotonic = monotonic;
    this.timeOfDay = timeOfDay;
    this.offsetMillis = timeOfDay.millis() - monotonic.millis();
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis());
  }

  @Override
  public long millis() {
    long nowMillis = monotonic.millis();
    long nextMillis = timeOfDay.millis() - nowMillis;
    if (nextMillis > offsetMillis + TOLERANCE_MILLIS) {
      addedMillis += nextMillis - offsetMillis;
      offsetMillis = nextMillis;
    } else if (nextMillis < offsetMillis) {
      offsetMillis = nextMillis;
    }
    return nowMillis + addedMillis;
  }
}
