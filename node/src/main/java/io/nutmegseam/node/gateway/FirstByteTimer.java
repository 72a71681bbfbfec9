package io.nutmegseam.node.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.nutmegseam.core.gateway.Route;
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
   * Starts the timer for a retry on another server, or restarts it, if the request may still be
   * retried; stops it otherwise.
   */
  void start(Route route, AttemptHistory history) {
    stop();
    if (history.canRunAgainAfterThis(route)) {
      long timeoutMillis =
          Math.max(MIN_TIMEOUT_MILLIS, TIMEOUT_TARGET_MULTIPLE * route.targetLatencyMillis());
      timer = loop.schedule(onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
    }
  }

  /** Cancels the timer if it is running. */
  void stop() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
