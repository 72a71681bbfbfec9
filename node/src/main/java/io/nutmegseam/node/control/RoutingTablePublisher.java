package io.nutmegseam.node.control;

import java.util.concurrent.TimeUnit;

/** Holds the newest routing table and lets traffic threads wait for the next one. */
public final class RoutingTablePublisher {
  private RoutingTable current = RoutingTable.empty();

  /** Returns the newest table. */
  public synchronized RoutingTable current() {
    return current;
  }

  /** Publishes a table. */
  public synchronized void publish(RoutingTable table) {
    current = table;
    notifyAll();
  }

  /**
   * Waits until there is another table than the given one.
   *
   * @param known the table that the caller has seen
   * @param timeoutMillis longest wait, in milliseconds
   * @return the newest table, which is the given one after a timeout
   * @throws InterruptedException if the thread is interrupted
   */
  public synchronized RoutingTable awaitChange(RoutingTable known, long timeoutMillis)
      throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    while (current == known) {
      long leftMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
      if (leftMillis <= 0) {
        return current;
      }
      wait(leftMillis);
    }
    return current;
  }
}
