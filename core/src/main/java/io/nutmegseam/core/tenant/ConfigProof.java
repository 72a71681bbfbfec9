package io.nutmegseam.core.tenant;

import java.util.OptionalLong;

/**
 * The time up to which the configuration of a node is known to be complete: every configuration
 * that the store confirmed before that time is in force here or has been replaced. Thread-safe.
 */
public final class ConfigProof {
  /**
   * Adjustments of the time of day up to this size are tolerated. The part of the revocation time
   * that {@link RevocationRule} holds back is several times as long.
   */
  public static final long BACKWARD_TOLERANCE_MILLIS = 500;

  private boolean known;
  private long highestOffsetMillis = Long.MIN_VALUE / 2;
  private int setBacks;
  private Stamp knownUpTo = new Stamp(new ClockReading(0, 0), -1);
  private long ageAtStampMillis;

  /**
   * A reading of the clocks from which time is counted.
   *
   * @param reading the reading
   * @param setBacks how often the time of day had been set back until then
   */
  public record Stamp(ClockReading reading, int setBacks) {}

  /** Returns the stamp of a read or a query that is about to be sent. */
  public synchronized Stamp stamp(ClockReading now) {
    observe(now);
    return new Stamp(now, setBacks);
  }

  /** Notes the clocks, so that a time of day that was set forward and back again is noticed. */
  public synchronized void observe(ClockReading now) {
    if (highestOffsetMillis - BACKWARD_TOLERANCE_MILLIS > now.offsetMillis()) {
      setBacks++;
      highestOffsetMillis = now.offsetMillis();
    }
    highestOffsetMillis = Math.max(highestOffsetMillis, now.offsetMillis());
  }

  /** Returns how often the time of day has been set back by more than the tolerance. */
  public synchronized int setBacks() {
    return setBacks;
  }

  /**
   * Records a response to a read of the store or to a query. A response that proves less than what
   * is known, as a late or a repeated one, changes nothing.
   *
   * @param sent stamp of the read or query
   * @param ageMillis age of the knowledge that the response returned when it was sent, in
   *     milliseconds; 0 for a read of the store
   * @param now the present time
   * @return whether more is known than before
   */
  public synchronized boolean onResponse(Stamp sent, long ageMillis, ClockReading now) {
    observe(now);
    if (sent.setBacks() != setBacks || ageMillis < 0) {
      return false;
    }
    OptionalLong presentAge = ageMillis(now);
    long offeredAge = now.elapsedMillisSince(sent.reading()) + ageMillis;
    if (presentAge.isPresent() && presentAge.getAsLong() <= offeredAge) {
      return false;
    }
    known = true;
    knownUpTo = sent;
    ageAtStampMillis = ageMillis;
    return true;
  }

  /**
   * Returns the age of the configuration, in milliseconds, by the clock that has advanced further;
   * empty if it is not known, or if the time of day has been set back since.
   */
  public synchronized OptionalLong ageMillis(ClockReading now) {
    observe(now);
    return known && knownUpTo.setBacks() == setBacks
        ? OptionalLong.of(now.elapsedMillisSince(knownUpTo.reading()) + ageAtStampMillis)
        : OptionalLong.empty();
  }
}
