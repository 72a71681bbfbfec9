package io.nutmegseam.core.platform;

/**
 * A position in the history of the platform's store: the era of the store and a version in it. The
 * store starts a new era when it returns from an older copy of its data. What it had acknowledged
 * since that copy is lost, and its versions are given out again, so a version alone identifies no
 * state.
 *
 * <p>A position is a {@code long} with the era in the high bits. Positions therefore compare like
 * versions, and every position of an era is higher than those of earlier eras. A store without eras
 * is in era 0, where a position equals its version.
 */
public final class StorePosition {
  /** Versions take 40 bits: 10,000 writes per second for three years. */
  private static final int VERSION_BITS = 40;

  private static final long VERSION_MASK = (1L << VERSION_BITS) - 1;

  /** Positions are fences of orders, and JSON numbers are exact up to 53 bits. */
  private static final long MAX_ERA = (1L << 13) - 1;

  private StorePosition() {}

  /**
   * Returns a position.
   *
   * @param era era of the store
   * @param version version in the era
   * @throws IllegalArgumentException if the era or the version is negative or too high
   */
  public static long of(long era, long version) {
    if (era < 0 || era > MAX_ERA) {
      throw new IllegalArgumentException("store era " + era + " is not in 0 to " + MAX_ERA);
    }
    if (version < 0 || version > VERSION_MASK) {
      throw new IllegalArgumentException(
          "store version " + version + " is not in 0 to " + VERSION_MASK);
    }
    return era << VERSION_BITS | version;
  }

  /** Returns the era of a position. */
  public static long era(long position) {
    return position >> VERSION_BITS;
  }

  /** Returns the version of a position in its era. */
  public static long version(long position) {
    return position & VERSION_MASK;
  }

  /** Returns a position as text for log lines, as {@code era/version}. */
  public static String text(long position) {
    return era(position) + "/" + version(position);
  }
}
