package io.nutmegseam.node.gateway;

import java.util.concurrent.ThreadLocalRandom;

/** When callers of refused requests are told to come back, in milliseconds. */
final class RetryAfter {
  static final long SOON_MILLIS = 500;

  /** Servers that had no room have answered most of what they held by then. */
  static final long OVERLOAD_MILLIS = 1_000;

  private RetryAfter() {}

  /** Returns a time for callers that are refused together, who should not come back together. */
  static long jitteredMillis() {
    return SOON_MILLIS + ThreadLocalRandom.current().nextLong(OVERLOAD_MILLIS);
  }
}
