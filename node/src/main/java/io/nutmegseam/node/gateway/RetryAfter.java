package io.nutmegseam.node.gateway;

import io.nutmegseam.core.crash.CrashVerdict;
import java.time.Clock;
import java.util.concurrent.ThreadLocalRandom;

/** Retry-After times for callers of refused requests, in milliseconds. */
final class RetryAfter {
  static final long SOON_MILLIS = 500;

  /** Callers of a stopping node can return at once, since the load balancer uses other nodes. */
  static final long OTHER_NODE_MILLIS = 50;

  /** Overloaded servers have completed most of their current requests after this time. */
  static final long OVERLOAD_MILLIS = 1_000;

  private RetryAfter() {}

  /** Returns the time until a verdict ends. */
  static long untilEndOf(CrashVerdict verdict) {
    return Math.max(OVERLOAD_MILLIS, verdict.validUntilMillis() - Clock.systemUTC().millis());
  }

  /** Returns a random time after a delay, so that callers do not retry together at its end. */
  static long afterMillis(long delayMillis) {
    return delayMillis + ThreadLocalRandom.current().nextLong(SOON_MILLIS);
  }

  /** Returns a random time, so that callers refused together do not retry together. */
  static long jitteredMillis() {
    return SOON_MILLIS + ThreadLocalRandom.current().nextLong(OVERLOAD_MILLIS);
  }
}
