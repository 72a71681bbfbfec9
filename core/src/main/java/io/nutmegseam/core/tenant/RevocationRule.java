package io.nutmegseam.core.tenant;

import java.util.OptionalLong;

/**
 * Decides whether a node may admit requests by key: only while its configuration is provably young
 * enough.
 *
 * @param revocationMillis time after which a revoked key must not be accepted anywhere, in
 *     milliseconds
 */
public record RevocationRule(long revocationMillis) {
  /**
   * Part of the revocation time that the configuration may be old. The rest covers a store whose
   * feed is late by a second, and errors of clocks.
   */
  private static final double AGE_SHARE = 0.6;

  /** A node asks for the age of its configuration at this interval. */
  private static final long MIN_RETRY_MILLIS = 500;

  private static final long MAX_RETRY_MILLIS = 5_000;

  /** Returns the age of the configuration up to which requests are admitted, in milliseconds. */
  public long maxAgeMillis() {
    return (long) (AGE_SHARE * revocationMillis);
  }

  /** Returns whether requests are admitted at an age of the configuration; empty: unknown. */
  public boolean admits(OptionalLong ageMillis) {
    return ageMillis.isPresent() && ageMillis.getAsLong() <= maxAgeMillis();
  }

  /**
   * Returns the time after which a refused caller should try again, in milliseconds: an outage is
   * expected to last for as long again as it has lasted.
   *
   * @param ageMillis age of the configuration; empty if it is unknown, which the next answer ends
   */
  public long retryAfterMillis(OptionalLong ageMillis) {
    long outageMillis = ageMillis.orElse(0) - maxAgeMillis();
    return Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, outageMillis));
  }
}
