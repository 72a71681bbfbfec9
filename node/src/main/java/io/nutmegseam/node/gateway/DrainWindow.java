package io.nutmegseam.node.gateway;

/**
 * Times of the drain of a stopping node, which decide whether it takes a further request.
 *
 * @param admitAllUntilMillis monotonic time until which all requests are admitted, since the load
 *     balancer still sends new connections
 * @param endMillis monotonic time at which the requests in flight are cut
 */
record DrainWindow(long admitAllUntilMillis, long endMillis) {
  /**
   * Returns whether a request is admitted: later in the drain, only one whose time limit ends
   * before the drain does.
   *
   * @param nowMillis present monotonic time
   * @param deadlineMillis monotonic time of the request's deadline
   */
  boolean admits(long nowMillis, long deadlineMillis) {
    return nowMillis < admitAllUntilMillis || deadlineMillis <= endMillis;
  }
}
