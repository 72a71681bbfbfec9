package io.nutmegseam.node.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Tells when a server has not begun to answer for too long. Confined to the traffic thread. */
final class FirstByteTimer {
  /** A request without an answer goes elsewhere after this multiple of its target. */
  private static final int SILENCE_TARGETS = 3;

  private static final long MIN_SILENCE_MILLIS = 500;

  private final EventLoop loop;
  private final Runnable onSilence;
  private ScheduledFuture<?> timer;

  /**
   * Creates a watch that is not set.
   *
   * @param loop the traffic thread
   * @param onSilence called when the time is over
   */
  FirstByteTimer(EventLoop loop, Runnable onSilence) {
    this.loop = loop;
    this.onSilence = onSilence;
  }

  /**
   * Sets the watch, in place of an earlier time.
   *
   * @param targetMillis time within which an answer is worth most, in milliseconds
   */
  void start(long targetMillis) {
    stop();
    long silenceMillis = Math.max(MIN_SILENCE_MILLIS, SILENCE_TARGETS * targetMillis);
    timer = loop.schedule(onSilence, silenceMillis, TimeUnit.MILLISECONDS);
  }

  /** Takes the watch back. */
  void stop() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
