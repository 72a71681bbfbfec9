package io.nutmegseam.core.event;

import java.time.Clock;

/**
 * A hybrid logical clock: its timestamps follow the wall clock and never contradict causal order.
 * Safe for use by several threads.
 */
public final class HybridClock {
  /** A remote timestamp further ahead than this does not move the clock. */
  private static final long MAX_SKEW_MILLIS = 60_000;

  private final Clock clock;
  private HybridTimestamp last = new HybridTimestamp(0, 0);

  /**
   * Creates a clock.
   *
   * @param clock the wall clock
   */
  public HybridClock(Clock clock) {
    this.clock = clock;
  }

  /** Returns the timestamp of a local event. */
  public synchronized HybridTimestamp tick() {
    long nowMillis = clock.millis();
    if (nowMillis > last.wallMillis()) {
      last = new HybridTimestamp(nowMillis, 0);
    } else {
      last = new HybridTimestamp(last.wallMillis(), last.logical() + 1);
    }
    return last;
  }

  /**
   * Moves the clock past a timestamp received from another process.
   *
   * @param remote the received timestamp
   * @return the timestamp of the receipt
   */
  public synchronized HybridTimestamp update(HybridTimestamp remote) {
    boolean plausible = remote.wallMillis() - clock.millis() <= MAX_SKEW_MILLIS;
    if (plausible && remote.compareTo(last) > 0) {
      last = remote;
    }
    return tick();
  }
}
