package io.nutmegseam.core.allotment;

import java.util.Optional;

/**
 * To which granting node a node lends its shares of a group. It lends them to another one only when
 * the membership at the one before has certainly ended. Confined to one thread.
 */
public final class ShareLending {
  /** A better granting node must have been reachable for this time, so as not to go to and fro. */
  private static final long STABLE_MILLIS = 5_000;

  private Optional<String> holder = Optional.empty();
  private Optional<String> last = Optional.empty();
  private long freeMillis;
  private Optional<String> better = Optional.empty();
  private long betterSinceMillis;

  /**
   * Creates a lending without a granting node.
   *
   * @param freeMillis time from which the shares are free for any granting node
   */
  public ShareLending(long freeMillis) {
    this.freeMillis = freeMillis;
  }

  /** Returns the time from which the shares are free. */
  public long freeMillis() {
    return freeMillis;
  }

  /**
   * Returns the granting node to send a request to now; empty while the shares are not free.
   *
   * @param wanted the first reachable granting node in order
   * @param isFirst whether it is the first in order
   * @param holderReachable whether the present one is reachable
   * @param justStarted whether the process has not lent its shares yet
   * @param nowMillis present time
   */
  public Optional<String> select(
      Optional<String> wanted,
      boolean isFirst,
      boolean holderReachable,
      boolean justStarted,
      long nowMillis) {
    if (holder.isPresent() && holder.equals(wanted)) {
      better = Optional.empty();
      return holder;
    }
    if (holder.isPresent() && holderReachable) {
      if (!better.equals(wanted)) {
        better = wanted;
        betterSinceMillis = nowMillis;
      }
      if (nowMillis - betterSinceMillis < STABLE_MILLIS) {
        return holder;
      }
    }
    holder = Optional.empty();
    boolean isFree = nowMillis >= freeMillis || wanted.equals(last) || (justStarted && isFirst);
    if (wanted.isPresent() && isFree) {
      holder = wanted;
      last = wanted;
      better = Optional.empty();
    }
    return holder;
  }

  /** Records a request to the granting node, which may count for the membership time. */
  public void onSent(long nowMillis, long membershipMillis) {
    freeMillis = Math.max(freeMillis, nowMillis + membershipMillis);
  }
}
