package io.nutmegseam.node.rows;

/**
 * When the store has answered this node and others, and until when rows may return that lapsed
 * while it was away. Confined to the control thread.
 */
final class AnswerTimes {
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long maxUpdateAgeMillis;
  private long lastOwnMillis;
  private long lastMillis;
  private long failedMillis = NEVER;
  private long recoveredMillis = NEVER;
  private long restoredMillis = NEVER;

  /**
   * Creates times of a store that has not answered yet.
   *
   * @param maxUpdateAgeMillis longest time without an answer in normal operation, in milliseconds
   */
  AnswerTimes(long maxUpdateAgeMillis) {
    this.maxUpdateAgeMillis = maxUpdateAgeMillis;
  }

  /** Returns when the store last answered this node or another one. */
  long lastMillis() {
    return lastMillis;
  }

  /** Records that a read of this node failed. */
  void onFailure(long atMillis) {
    failedMillis = atMillis;
  }

  /**
   * Records an answer to this node.
   *
   * @return whether the store may have been away before it: a read has failed since the store last
   *     answered anyone. If that was another node, only a longer gap counts, since this node may be
   *     the only one that did not reach the store.
   */
  boolean onOwnAnswer(long atMillis) {
    boolean othersSince = lastMillis > lastOwnMillis;
    boolean suspected =
        failedMillis >= lastMillis && (!othersSince || atMillis - lastMillis > maxUpdateAgeMillis);
    if (suspected) {
      recoveredMillis = atMillis;
    }
    lastOwnMillis = atMillis;
    lastMillis = atMillis;
    return suspected;
  }

  /**
   * Records an answer to another node.
   *
   * @param unsettledMillis time for which rows may still return by the knowledge of that node
   * @param nowMillis time at which that holds
   * @return whether the store may have been away before it: this node heard of no answer either.
   *     Otherwise the other node may be the only one that did not reach the store.
   */
  boolean onAnswerToOther(long atMillis, long unsettledMillis, long nowMillis) {
    boolean suspected = unsettledMillis > 0 && nowMillis - lastMillis > maxUpdateAgeMillis;
    if (suspected) {
      long otherRecoveredMillis = nowMillis - TableWatcher.SETTLE_MILLIS + unsettledMillis;
      recoveredMillis = Math.max(recoveredMillis, otherRecoveredMillis);
    }
    lastMillis = Math.max(lastMillis, atMillis);
    return suspected;
  }

  /** Records that the store has returned from an older copy. */
  void onRestored(long atMillis) {
    restoredMillis = atMillis;
  }

  /** Records that the store was not away when this node heard of no answer. */
  void onAnsweredMeanwhile() {
    recoveredMillis = NEVER;
  }

  /** Returns the time for which lapsed rows may still return, in milliseconds. */
  long unsettledMillis(long nowMillis) {
    long sinceMillis = Math.max(recoveredMillis, restoredMillis);
    return Math.max(0, sinceMillis + TableWatcher.SETTLE_MILLIS - nowMillis);
  }
}
