package io.nutmegseam.node.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Fires if a server has not begun its response within a multiple of the target latency, so that the
 * request can be retried on another server. Confined to the traffic thread.
 */
final class FirstByteTimer {
  /** Timeout as a multiple of the target latency. */
  private static final int TIMEOUT_TARGET_MULTIPLE = 3;

  private static final long MIN_TIMEOUT_MILLIS = 500;

  private final EventLoop loop;
  private final Runnable onTimeout;
  private ScheduledFuture<?> timer;

  /**
   * Creates a timer that is not running.
   *
   * @param loop the traffic thread
   * @param onTimeout called on the traffic thread when the timer expires
   */
  FirstByteTimer(EventLoop loop, Runnable onTimeout) {
    this.loop = loop;
    this.onTimeout = onTimeout;
  }

  /**
   * Starts the timer, or restarts it if it is running.
   *
   * @param targetMillis target latency of the request, in milliseconds
   */
  void start(long targetMillis) {
    stop();
    long timeoutMillis = Math.max(MIN_TIMEOUT_MILLIS, TIMEOUT_TARGET_MULTIPLE * targetMillis);
    timer = loop.schedule(onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
  }

  /** Cancels the timer if it is running. */
  void stop() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
