package io.nutmegseam.core.retry;

/** Allows retries as a share of fresh requests, so that they cannot multiply an overload. */
public final class RetryBudget {
  private static final double MAX_SAVED_RETRIES = 10;
  private static final double PERCENT = 100.0;

  private double savedRetries = MAX_SAVED_RETRIES;

  /**
   * Notes a fresh request.
   *
   * @param retryPercent retries earned by each hundred fresh requests
   */
  public synchronized void onNewRequest(int retryPercent) {
    savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + retryPercent / PERCENT);
  }

  /** Takes one retry from the budget; returns false if none is left. */
  public synchronized boolean tryAcquire() {
    if (savedRetries < 1) {
      return false;
    }
    savedRetries -= 1;
    return true;
  }
}
