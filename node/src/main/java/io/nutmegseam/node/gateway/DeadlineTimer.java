package io.nutmegseam.node.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;

/** Fires at the deadline of a request. Confined to the traffic thread. */
final class DeadlineTimer {
  private final EventLoop loop;
  private final InstantSource clock;
  private final Runnable onDeadline;
  private ScheduledFuture<?> timer;

  /**
   * Creates a timer that is not running.
   *
   * @param loop the traffic thread
   * @param clock monotonic clock
   * @param onDeadline called on the traffic thread at the deadline
   */
  DeadlineTimer(EventLoop loop, InstantSource clock, Runnable onDeadline) {
    this.loop = loop;
    this.clock = clock;
    this.onDeadline = onDeadline;
  }

  /**
   * Starts the timer.
   *
   * @param deadlineMillis monotonic time of the deadline
   */
  void start(long deadlineMillis) {
    timer = loop.schedule(onDeadline, deadlineMillis - clock.millis(), TimeUnit.MILLISECONDS);
  }

  /** Cancels the timer if it is running. */
  void stop() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
