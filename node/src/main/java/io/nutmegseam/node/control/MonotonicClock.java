package io.nutmegseam.node.control;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;

/**
 * A clock that reads {@link System#nanoTime}, so that adjustments of the wall clock do not affect
 * it. Its instants are not calendar times.
 */
public final class MonotonicClock extends Clock {
  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }

  @Override
  public long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(millis());
  }
}
