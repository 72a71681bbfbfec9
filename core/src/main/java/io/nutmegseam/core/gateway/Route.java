package io.nutmegseam.core.gateway;

import java.util.List;

/**
 * Where requests with a host and a path prefix go, and how they may be handled.
 *
 * @param name name of the route
 * @param host value of the host header
 * @param pathPrefix prefix of the path; begins and ends with a slash
 * @param kind what may be repeated
 * @param resumable whether a stream may go on at another server after its last event
 * @param timeoutMillis longest time that a caller is kept waiting, in milliseconds
 * @param targetLatencyMillis time within which an answer is worth most, in milliseconds
 * @param callerIdleTimeoutMillis time without a byte of the answer after which callers leave, in
 *     milliseconds
 * @param priority rank among the routes; 0 is the most urgent
 * @param maxAttempts most servers on which one request may run
 * @param shares the services that take the requests; at least one
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    boolean resumable,
    long timeoutMillis,
    long targetLatencyMillis,
    long callerIdleTimeoutMillis,
    int priority,
    int maxAttempts,
    List<ServiceShare> shares) {
  /** Returns whether a request that may have run can be sent to another server. */
  public boolean isRetryable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable);
  }

  /**
   * Returns the service for a request.
   *
   * @param draw a number from 0 (inclusive) to 1 (exclusive) that is evenly spread over requests
   */
  public String chooseService(double draw) {
    int total = shares.stream().mapToInt(ServiceShare::weight).sum();
    double left = draw * total;
    for (ServiceShare share : shares) {
      left -= share.weight();
      if (left < 0) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }
}
