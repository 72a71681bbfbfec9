package io.nutmegseam.node.caller;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/** Runs requests that are suspected of crashing backend servers one at a time. */
final class Quarantine {
  private final ReentrantLock lock = new ReentrantLock(true);

  /**
   * Waits until no other suspected request runs, in the order of arrival.
   *
   * @param timeoutMillis longest wait, in milliseconds; a negative value counts as 0
   * @return whether the request may run; if true, the same thread must call {@link #leave}
   */
  boolean tryEnter(long timeoutMillis) {
    try {
      return lock.tryLock(Math.max(0, timeoutMillis), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Allows the next suspected request to run. */
  void leave() {
    lock.unlock();
  }
}
