package io.nutmegseam.node.control;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;

/** Tracks whether the platform's table service is available. Thread-safe. */
public final class PlatformHealth {
  private final EventSink events;
  private boolean available = true;

  /**
   * Creates a tracker; the service counts as available until a call fails.
   *
   * @param events receives the changes of availability
   */
  public PlatformHealth(EventSink events) {
    this.events = events;
  }

  /** Records that the service responded to a call. */
  public synchronized void recordSuccess() {
    if (!available) {
      available = true;
      events.record(EventKind.PLATFORM_BACK, "table", "");
    }
  }

  /** Records that a call failed; the reason goes to the event log if the service was available. */
  public synchronized void recordFailure(String reason) {
    if (available) {
      available = false;
      events.record(EventKind.PLATFORM_OUT, "table", reason);
    }
  }

  /** Returns whether the last call succeeded. */
  public synchronized boolean isAvailable() {
    return available;
  }
}
