package io.nutmegseam.node.caller;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/** Lets one request at a time run that is suspected of crashing backend servers. */
final class Quarantine {
  private final ReentrantLock lock = new ReentrantLock(true);

  /**
   * Waits for the turn of a suspected request.
   *
   * @param timeoutMillis longest wait, in milliseconds
   * @return whether the request may run; {@link #leave} must follow
   */
  boolean tryEnter(long timeoutMillis) {
    try {
      return lock.tryLock(Math.max(0, timeoutMillis), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Lets the next suspected request run. */
  void leave() {
    lock.unlock();
  }
}
