package io.nutmegseam.node.rows;

import io.nutmegseam.core.platform.StorePosition;

/**
 * How fast the versions of the store rise by the check-ins of servers, which each write one row at
 * a steady interval. Versions that went on rising while a node did not reach the store show that
 * the servers reached it. This holds only where nobody else writes, or all other writes are
 * counted. Confined to the control thread.
 */
final class CheckInPace {
  /** Check-ins of all servers that must have been observed before the pace is used. */
  private static final double MIN_OBSERVED_ROUNDS = 2;

  /** Half of the observations are dropped after this time, so that the pace follows the servers. */
  private static final long MAX_OBSERVED_MILLIS = 60_000;

  /**
   * Servers that go on miss less than one check-in by the slowest pace that fits what was observed.
   * One whose entry lapses has missed two.
   */
  private static final double MAX_MISSED_ROUNDS = 1.5;

  /** Longest time that the observed check-ins may have taken, in milliseconds. */
  private double observedMillis;

  /** Check-ins in the observed time, as a share of all servers. */
  private double observedRounds;

  /** Whether a check-in has been observed since which the time counts. */
  private boolean started;

  /** Longest time since the last observed check-in that has not been counted, in milliseconds. */
  private long sinceCheckInMillis;

  /**
   * A time between two answers of the store.
   *
   * @param lengthMillis length of the time, in milliseconds
   * @param writes writes of other than this node in that time
   * @param servers servers that were listed before and after it
   */
  record Interval(long lengthMillis, long writes, int servers) {}

  /** Returns the writes between two positions; 0 if the store returned from an older copy. */
  static long writesBetween(long fromPosition, long toPosition) {
    return StorePosition.era(fromPosition) == StorePosition.era(toPosition)
        ? StorePosition.version(toPosition) - StorePosition.version(fromPosition)
        : 0;
  }

  /**
   * Observes a time in which the store was not away. Servers may check in together, so the time
   * counts from one check-in to another. When in its interval the first one came is not known.
   */
  void observe(Interval interval) {
    if (interval.servers() == 0) {
      return;
    }
    sinceCheckInMillis += interval.lengthMillis();
    if (interval.writes() <= 0) {
      return;
    }
    if (started) {
      observedMillis += sinceCheckInMillis;
      observedRounds += (double) interval.writes() / interval.servers();
      sinceCheckInMillis = 0;
    } else {
      sinceCheckInMillis = interval.lengthMillis();
    }
    started = true;
    if (observedMillis > MAX_OBSERVED_MILLIS) {
      observedMillis /= 2;
      observedRounds /= 2;
    }
  }

  /** Ends the present observation; the next one begins with the next check-in. */
  void interrupt() {
    started = false;
  }

  /** Returns whether servers went on writing, so that no entry can have lapsed for an outage. */
  boolean showsCheckIns(Interval interval) {
    if (observedRounds < MIN_OBSERVED_ROUNDS || interval.servers() == 0) {
      return false;
    }
    double leastRounds = interval.lengthMillis() * observedRounds / observedMillis;
    double rounds = (double) interval.writes() / interval.servers();
    return leastRounds - rounds < MAX_MISSED_ROUNDS;
  }
}
