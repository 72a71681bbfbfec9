package io.nutmegseam.node.control;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;

/** A clock that never jumps: its time is the runtime's monotonic time. */
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
