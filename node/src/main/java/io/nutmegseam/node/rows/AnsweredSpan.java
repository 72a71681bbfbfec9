package io.nutmegseam.node.rows;

/**
 * The latest time span in which the store is known to have answered, to this node or to others,
 * without a gap in which it could have been away. Confined to the control thread.
 */
final class AnsweredSpan {
  /**
   * Longest gap between two answers that counts as none. Entries lapse only after several check-ins
   * that a server could not write, which takes longer.
   */
  static final long MAX_GAP_MILLIS = 2_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private long sinceMillis = NEVER;
  private long lastMillis = NEVER;

  /** Beginning of the span before the last gap. */
  private long sinceBeforeGapMillis = NEVER;

  /** Extends the span by an answer of the store; an earlier one than the last is ignored. */
  void onAnswer(long atMillis) {
    if (atMillis > lastMillis) {
      if (atMillis - lastMillis > MAX_GAP_MILLIS) {
        sinceBeforeGapMillis = sinceMillis;
        sinceMillis = atMillis;
      }
      lastMillis = atMillis;
    }
  }

  /** Joins the span to the one before the last gap, in which the store has answered others. */
  void closeGap() {
    if (sinceBeforeGapMillis != NEVER) {
      sinceMillis = sinceBeforeGapMillis;
    }
  }

  /** Returns whether the store has answered. */
  boolean isKnown() {
    return lastMillis != NEVER;
  }

  /** Returns the monotonic time of the last answer, in milliseconds. */
  long lastMillis() {
    return lastMillis;
  }

  /** Returns how long before the last answer the span began, in milliseconds. */
  long lengthMillis() {
    return lastMillis - sinceMillis;
  }
}
