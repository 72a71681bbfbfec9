package io.nutmegseam.node.control;

import java.util.concurrent.TimeUnit;

/** Holds the newest routing table and lets traffic threads wait for the next one. Thread-safe. */
public final class RoutingTablePublisher {
  private RoutingTable current = RoutingTable.empty();

  /** Returns the newest table. */
  public synchronized RoutingTable current() {
    return current;
  }

  /** Replaces the table and wakes the threads that wait for a change. */
  public synchronized void publish(RoutingTable table) {
    current = table;
    notifyAll();
  }

  /**
   * Waits until the newest table is not the given one.
   *
   * @param previous the table that the waiting thread already has
   * @param timeoutMillis longest wait, in milliseconds
   * @return the newest table, which is the given one after a timeout
   * @throws InterruptedException if the thread is interrupted
   */
  public synchronized RoutingTable awaitChange(RoutingTable previous, long timeoutMillis)
      throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    while (current == previous) {
      long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
      if (remainingMillis <= 0) {
        return current;
      }
      wait(remainingMillis);
    }
    return current;
  }
}
