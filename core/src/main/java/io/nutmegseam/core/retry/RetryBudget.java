package io.nutmegseam.core.retry;

/**
 * Limits retries to a share of new requests, so that retries cannot multiply an overload.
 * Thread-safe.
 */
public final class RetryBudget {
  private static final double MAX_SAVED_RETRIES = 10;
  private static final double PERCENT = 100.0;

  private double savedRetries = MAX_SAVED_RETRIES;

  /**
   * Adds to the budget the share of a retry that a new request earns.
   *
   * @param retryPercent number of retries that each hundred new requests earn
   */
  public synchronized void onNewRequest(int retryPercent) {
    savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + retryPercent / PERCENT);
  }

  /** Consumes one retry of the budget; returns false if none is left. */
  public synchronized boolean tryAcquire() {
    if (savedRetries < 1) {
      return false;
    }
    savedRetries -= 1;
    return true;
  }
}
