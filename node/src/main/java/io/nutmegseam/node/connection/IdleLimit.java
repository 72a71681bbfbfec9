package io.nutmegseam.node.connection;

import io.netty.channel.EventLoop;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The time after which a server closes an idle connection, as far as it is known: the shortest one
 * that its headers state or that was observed. Confined to the traffic thread.
 */
final class IdleLimit {
  /** Not known. */
  private static final long UNKNOWN = Long.MAX_VALUE;

  /**
   * Rounds, each of this length, in which the traffic thread reads the ends of all connections that
   * ended at the same moment.
   */
  private static final int SETTLE_ROUNDS = 2;

  private static final long SETTLE_MILLIS = 15;

  private final EventLoop loop;
  private final InstantSource clock;
  private long limitMillis = UNKNOWN;

  /** Number of idle connections that have ended. */
  private long ends;

  private long lastEndMillis = Long.MIN_VALUE / 2;

  /**
   * Creates a limit that is not known.
   *
   * @param loop the traffic thread
   * @param clock monotonic clock
   */
  IdleLimit(EventLoop loop, InstantSource clock) {
    this.loop = loop;
    this.clock = clock;
  }

  /**
   * Notes a time after which the server closes, or has closed, an idle connection.
   *
   * @param millis the time in milliseconds; 0 if it is not readable
   */
  void note(long millis) {
    if (millis > 0) {
      limitMillis = Math.min(limitMillis, millis);
    }
  }

  /**
   * Notes the end of an idle connection. The limit is learned from it if the server has closed it
   * in order and no other idle one with it, while its process goes on.
   *
   * @param sinceMillis monotonic time since which it was idle, in milliseconds
   * @param inOrder whether the server has closed it in order
   * @param processGoesOn whether another connection, opened before, is still open; asked after the
   *     ends of all connections that have ended now were read
   */
  void onIdleConnectionEnded(long sinceMillis, boolean inOrder, BooleanSupplier processGoesOn) {
    ends++;
    long nowMillis = clock.millis();
    boolean withAnother = nowMillis - lastEndMillis <= SETTLE_ROUNDS * SETTLE_MILLIS;
    lastEndMillis = nowMillis;
    if (withAnother || !inOrder) {
      return;
    }
    long endsNow = ends;
    settle(
        SETTLE_ROUNDS,
        () -> {
          if (ends == endsNow && processGoesOn.getAsBoolean()) {
            note(nowMillis - sinceMillis);
          }
        });
  }

  /** Returns whether a connection that has been idle for a time may be closed at any moment. */
  boolean isNear(long idleMillis) {
    return limitMillis != UNKNOWN && idleMillis >= limitMillis / 4 * 3;
  }

  /** Returns whether a connection has been idle for half of the limit. */
  boolean isHalfway(long idleMillis) {
    return limitMillis != UNKNOWN && idleMillis >= limitMillis / 2;
  }

  private void settle(int rounds, Runnable onSettled) {
    if (rounds > 0) {
      loop.schedule(() -> settle(rounds - 1, onSettled), SETTLE_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      onSettled.run();
    }
  }
}
