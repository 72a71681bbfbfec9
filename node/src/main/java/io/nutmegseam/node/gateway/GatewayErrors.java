package io.nutmegseam.node.gateway;

import io.nutmegseam.core.crash.CrashVerdict;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.gateway.Route;

/** Creates the errors that the gateway reports to callers. */
final class GatewayErrors {
  private GatewayErrors() {}

  /** Returns the error for a request to a node that has no configuration yet. */
  static RequestException notReady(long retryAfterMillis) {
    return new RequestException(
        ErrorKind.NOT_READY, "the node has no configuration yet", retryAfterMillis);
  }

  /** Returns the error for a request that could not be served before the node shuts down. */
  static RequestException stopping(String description) {
    return new RequestException(
        ErrorKind.NOT_READY,
        "the node is shutting down; request not served: " + description,
        RetryAfter.OTHER_NODE_MILLIS);
  }

  /** Returns the error for a request whose host and path match no route. */
  static RequestException noRoute(InboundRequest request, long configVersion) {
    return new RequestException(
        ErrorKind.NOT_FOUND,
        "no route for host \"%s\" and path \"%s\" in configuration %d"
            .formatted(request.host(), request.path(), configVersion));
  }

  /** Returns the error for a header with an invalid value. */
  static RequestException badHeader(String name, String value) {
    return new RequestException(
        ErrorKind.HEADER_OUT_OF_RANGE,
        "header %s has the invalid value \"%s\"".formatted(name, value));
  }

  /** Returns the error for a request body over the size limit. */
  static RequestException bodyTooLarge(long maxBytes) {
    return new RequestException(
        ErrorKind.BODY_TOO_LARGE, "the request body is larger than %d bytes".formatted(maxBytes));
  }

  /** Returns the error for a request whose body has waited for memory for too long. */
  static RequestException noBodyMemory(long retryAfterMillis) {
    return new RequestException(
        ErrorKind.NO_BODY_MEMORY,
        "the bodies of other requests use up the memory of this node",
        retryAfterMillis);
  }

  /** Returns the error for a request that is not valid HTTP. */
  static RequestException malformed(String reason) {
    return new RequestException(ErrorKind.BAD_REQUEST, "malformed request: " + reason);
  }

  /** Returns the error for a request that no server can accept. */
  static RequestException noServer(String description, long retryAfterMillis) {
    return new RequestException(
        ErrorKind.NO_BACKEND_SERVER,
        "no backend server can accept the request: " + description,
        retryAfterMillis);
  }

  /** Returns the error for a request whose servers are at the limits that they name. */
  static RequestException atLimit(String description, long retryAfterMillis) {
    return new RequestException(
        ErrorKind.SERVERS_AT_LIMIT,
        "%s: all servers that could serve the request are at their limits for %d ms"
            .formatted(description, retryAfterMillis),
        retryAfterMillis);
  }

  /** Returns the error for a stream that must go on at a software version that is not known. */
  static RequestException originUnknown(
      String description, StreamResumption resumption, long retryAfterMillis) {
    return new RequestException(
        ErrorKind.STREAM_ORIGIN_UNKNOWN,
        "%s: the software version that began the stream of request \"%s\" is not known"
            .formatted(description, resumption.firstRequest()),
        retryAfterMillis);
  }

  /** Returns the error for a stream of a service to which its route no longer leads. */
  static RequestException originNotRouted(
      String description, String service, long retryAfterMillis) {
    return new RequestException(
        ErrorKind.NO_BACKEND_SERVER,
        "%s: the stream began at service %s, to which the route does not lead"
            .formatted(description, service),
        retryAfterMillis);
  }

  /** Returns the error for a request whose fingerprint crashed the servers that ran it. */
  static RequestException crashesServers(RequestPlan plan, CrashVerdict verdict) {
    return new RequestException(
        ErrorKind.CRASHES_SERVERS,
        "%s: requests with the fingerprint %s crashed servers of %s"
            .formatted(plan.description(), verdict.fingerprint(), verdict.crashedSoftware()),
        RetryAfter.untilEndOf(verdict));
  }

  /** Returns the error for a request whose model is not expected to be loaded in time. */
  static RequestException modelNotInTime(
      String description, long expectedMillis, long remainingMillis) {
    return new RequestException(
        ErrorKind.DEADLINE_INFEASIBLE,
        "%s: the model is expected in %d ms, but %d ms remain"
            .formatted(description, expectedMillis, remainingMillis),
        RetryAfter.afterMillis(expectedMillis));
  }

  /** Returns the error for a request that would miss its target latency in a server's queue. */
  static RequestException queueTooLong(RequestPlan plan) {
    return new RequestException(
        ErrorKind.QUEUE_FULL,
        "%s: no server responds within the target of %d ms"
            .formatted(plan.description(), plan.route().targetLatencyMillis()),
        RetryAfter.jitteredMillis());
  }

  /** Returns the error for a deadline that passed, by whether a server may have the request. */
  static RequestException deadlinePassed(Route route, long waitedMillis, boolean sent) {
    return sent ? timedOut(route, waitedMillis) : expiredInQueue(route, waitedMillis);
  }

  private static RequestException expiredInQueue(Route route, long waitedMillis) {
    return new RequestException(
        ErrorKind.EXPIRED_IN_QUEUE,
        "route %s: not sent to a server within %d ms".formatted(route.name(), waitedMillis));
  }

  private static RequestException timedOut(Route route, long waitedMillis) {
    return new RequestException(
        ErrorKind.DEADLINE_EXCEEDED,
        "route %s: no response within %d ms".formatted(route.name(), waitedMillis));
  }

  /** Returns the error for a request that provably did not run and that no other server accepts. */
  static RequestException backendRefused(String reason, long retryAfterMillis) {
    return new RequestException(ErrorKind.BACKEND_REFUSED, reason, retryAfterMillis);
  }

  /** Returns the error for a request that may have run but got no response. */
  static RequestException backendLost(String reason) {
    return new RequestException(ErrorKind.BACKEND_LOST, reason);
  }
}
