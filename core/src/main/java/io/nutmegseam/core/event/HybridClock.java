package io.nutmegseam.core.event;

import java.time.Clock;

/**
 * A hybrid logical clock: its timestamps follow the wall clock and are consistent with the causal
 * order of events. Thread-safe.
 */
public final class HybridClock {
  /** Remote timestamps that are further ahead of the wall clock are ignored. */
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

  /** Advances the clock and returns the timestamp of a local event. */
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
   * Advances the clock past a timestamp that was received from another process.
   *
   * @param remote the received timestamp
   * @return the timestamp of the receive event
   */
  public synchronized HybridTimestamp update(HybridTimestamp remote) {
    boolean plausible = remote.wallMillis() - clock.millis() <= MAX_SKEW_MILLIS;
    if (plausible && remote.compareTo(last) > 0) {
      last = remote;
    }
    return tick();
  }
}
