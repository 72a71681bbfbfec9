package io.nutmegseam.node.gateway;

import java.time.Instant;
import java.time.InstantSource;

/** A clock whose time changes only when a test advances it. */
final class TestClock implements InstantSource {
  private long nowMillis;

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(nowMillis);
  }

  @Override
  public long millis() {
    return nowMillis;
  }

  void advance(long millis) {
    nowMillis += millis;
  }
}
