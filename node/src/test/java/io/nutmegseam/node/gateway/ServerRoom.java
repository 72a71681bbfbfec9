package io.nutmegseam.node.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The room of a backend server for requests that run or wait. A server that has to reject too many
 * of them within a second falls over, and is back after some time. Thread-safe.
 */
final class ServerRoom {
  private static final long SECOND_MILLIS = 1_000;
  private static final long DOWN_MILLIS = 1_500;

  private final int places;
  private final int maxRejectionsPerSecond;
  private final Deque<Long> rejectedMillis = new ArrayDeque<>();
  private int taken;
  private int falls;
  private int rejections;
  private long downUntilMillis;

  /** What becomes of a request. */
  enum Outcome {
    ACCEPTED,
    REJECTED,
    DOWN
  }

  /**
   * Creates room for a number of requests.
   *
   * @param places number of requests that run or wait at the same time
   * @param maxRejectionsPerSecond number of rejections within a second that the server survives
   */
  ServerRoom(int places, int maxRejectionsPerSecond) {
    this.places = places;
    this.maxRejectionsPerSecond = maxRejectionsPerSecond;
  }

  int maxRejectionsPerSecond() {
    return maxRejectionsPerSecond;
  }

  /** Takes a place for a request that arrives. */
  synchronized Outcome enter() {
    long nowMillis = System.currentTimeMillis();
    if (nowMillis < downUntilMillis) {
      return Outcome.DOWN;
    }
    if (taken < places) {
      taken++;
      return Outcome.ACCEPTED;
    }
    rejections++;
    rejectedMillis.addLast(nowMillis);
    rejectedMillis.removeIf(at -> nowMillis - at >= SECOND_MILLIS);
    if (rejectedMillis.size() > maxRejectionsPerSecond) {
      falls++;
      rejectedMillis.clear();
      downUntilMillis = nowMillis + DOWN_MILLIS;
      return Outcome.DOWN;
    }
    return Outcome.REJECTED;
  }

  /** Frees the place of a request that has ended. */
  synchronized void leave() {
    taken--;
  }

  synchronized boolean isDown() {
    return System.currentTimeMillis() < downUntilMillis;
  }

  synchronized int falls() {
    return falls;
  }

  synchronized int rejections() {
    return rejections;
  }
}
