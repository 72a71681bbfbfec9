package io.nutmegseam.core.gateway;

import java.util.List;

/**
 * A route: the services that receive requests with a host and a path prefix, and their time limits.
 *
 * @param name name of the route
 * @param host value of the {@code Host} header
 * @param pathPrefix path prefix, which begins and ends with a slash
 * @param kind kind of the requests, which determines whether they may be retried
 * @param resumable whether another server can continue a stream after the last received event
 * @param timeoutMillis maximum time from the arrival of a request to the end of its response, in
 *     milliseconds
 * @param targetLatencyMillis time from the arrival of a request within which a response is in time,
 *     in milliseconds
 * @param callerIdleTimeoutMillis time without a byte of the response after which callers
 *     disconnect, in milliseconds
 * @param priority priority of the route; 0 is the highest
 * @param maxAttempts maximum number of servers on which a request may run
 * @param shares services that receive the requests; at least one
 * @param isPublic whether requests need no key although the configuration has tenants
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
    List<ServiceShare> shares,
    boolean isPublic) {
  /** Creates a route whose requests need a key if the configuration has tenants. */
  public Route(
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
    this(
        name,
        host,
        pathPrefix,
        kind,
        resumable,
        timeoutMillis,
        targetLatencyMillis,
        callerIdleTimeoutMillis,
        priority,
        maxAttempts,
        shares,
        false);
  }

  /** Returns whether a request that may have run can be sent to another server. */
  public boolean isRetryable() {
    return kind == RequestKind.IDEMPOTENT || hasResumableStreams();
  }

  /** Returns whether another server can go on with a stream of this route. */
  public boolean hasResumableStreams() {
    return kind == RequestKind.STREAMING && resumable;
  }

  /** Returns whether requests are sent to a service. */
  public boolean leadsTo(String service) {
    return shares.stream().anyMatch(s -> s.service().equals(service) && s.weight() > 0);
  }

  /**
   * Chooses the service of a request in proportion to the weights.
   *
   * @param draw a uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
   * @return name of the service
   */
  public String chooseService(double draw) {
    int totalWeight = shares.stream().mapToInt(ServiceShare::weight).sum();
    double remainder = draw * totalWeight;
    for (ServiceShare share : shares) {
      remainder -= share.weight();
      if (remainder < 0) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }
}
