package io.nutmegseam.core.dispatch;

/**
 * What the dispatch order needs to know of a request.
 *
 * @param priority priority of the request; 0 is the highest
 * @param tenant name of the tenant; empty if the request has none
 * @param arrivedMillis monotonic time at which the request arrived
 * @param latestStartMillis monotonic time before which a server must get the request to meet its
 *     target
 * @param waitUntilMillis monotonic time until which the request can wait for a server
 */
public record WaitingRequest(
    int priority, String tenant, long arrivedMillis, long latestStartMillis, long waitUntilMillis) {
  /** Returns whether a server can no longer get the request early enough to meet its target. */
  public boolean isLate(long nowMillis) {
    return nowMillis >= latestStartMillis;
  }
}
