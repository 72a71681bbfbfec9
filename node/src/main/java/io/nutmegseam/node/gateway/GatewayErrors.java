package io.nutmegseam.node.gateway;

import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.gateway.Route;

/** The errors of the gateway path. */
final class GatewayErrors {
  private GatewayErrors() {}

  /** A node that knows no configuration or no servers yet. */
  static RequestException notReady(long retryAfterMillis) {
    return new RequestException(
        ErrorKind.NOT_READY, "the node knows no configuration yet", retryAfterMillis);
  }

  /** A node that stops before the request's model can be loaded. */
  static RequestException stopping(String what, long retryAfterMillis) {
    return new RequestException(
        ErrorKind.NOT_READY, "the node stops; not served: " + what, retryAfterMillis);
  }

  /** A host and path without a route. */
  static RequestException noRoute(InboundRequest request, long configVersion) {
    return new RequestException(
        ErrorKind.NOT_FOUND,
        "no route for host \"%s\" and path \"%s\" in configuration %d"
            .formatted(request.host(), request.path(), configVersion));
  }

  /** A header that cannot be read. */
  static RequestException badHeader(String name, String value) {
    return new RequestException(
        ErrorKind.HEADER_OUT_OF_RANGE, "header %s is \"%s\"".formatted(name, value));
  }

  /** A body over the limit. */
  static RequestException bodyTooLarge(long maxBytes) {
    return new RequestException(
        ErrorKind.BODY_TOO_LARGE, "the body is over %d bytes".formatted(maxBytes));
  }

  /** A request that cannot be read as HTTP. */
  static RequestException malformed(String reason) {
    return new RequestException(ErrorKind.BAD_REQUEST, "unreadable request: " + reason);
  }

  /** No server can take the request. */
  static RequestException noServer(String what, long retryAfterMillis) {
    return new RequestException(
        ErrorKind.NO_BACKEND_SERVER, "no backend server can take " + what, retryAfterMillis);
  }

  /** A model that will not be loaded before the deadline. */
  static RequestException notInTime(String what, long expectedMillis, long leftMillis) {
    return new RequestException(
        ErrorKind.DEADLINE_INFEASIBLE,
        "%s is expected in %d ms but %d ms are left".formatted(what, expectedMillis, leftMillis),
        expectedMillis);
  }

  /** The queues of all servers are longer than the target of the route. */
  static RequestException queueTooLong(String what, long targetMillis, long retryAfterMillis) {
    return new RequestException(
        ErrorKind.QUEUE_FULL,
        "%s: no server answers within the target of %d ms".formatted(what, targetMillis),
        retryAfterMillis);
  }

  /** The deadline passed before the request was sent. */
  static RequestException expired(Route route, long waitedMillis) {
    return new RequestException(
        ErrorKind.EXPIRED_IN_QUEUE,
        "route %s: no server was free after %d ms".formatted(route.name(), waitedMillis));
  }

  /** The deadline passed while a server worked on the request. */
  static RequestException timedOut(Route route, long waitedMillis) {
    return new RequestException(
        ErrorKind.DEADLINE_EXCEEDED,
        "route %s: no answer after %d ms".formatted(route.name(), waitedMillis));
  }

  /** A server proved that the request did not run, and no other can take it. */
  static RequestException notRun(String reason, long retryAfterMillis) {
    return new RequestException(ErrorKind.BACKEND_REFUSED, reason, retryAfterMillis);
  }

  /** A request that may have run has no answer. */
  static RequestException lost(String reason) {
    return new RequestException(ErrorKind.BACKEND_LOST, reason);
  }
}
