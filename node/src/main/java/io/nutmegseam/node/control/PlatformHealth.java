package io.nutmegseam.node.control;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;

/** Whether the platform's table service answers. Safe for use by several threads. */
public final class PlatformHealth {
  private final EventSink events;
  private boolean available = true;

  /**
   * Creates the state of a service that answers.
   *
   * @param events receives changes
   */
  public PlatformHealth(EventSink events) {
    this.events = events;
  }

  /** Notes that a call was answered. */
  public synchronized void recordSuccess() {
    if (!available) {
      available = true;
      events.record(EventKind.PLATFORM_BACK, "table", "");
    }
  }

  /** Notes that a call was not answered. */
  public synchronized void recordFailure(String reason) {
    if (available) {
      available = false;
      events.record(EventKind.PLATFORM_OUT, "table", reason);
    }
  }

  /** Returns whether the last call was answered. */
  public synchronized boolean isAvailable() {
    return available;
  }
}
