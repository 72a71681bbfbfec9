package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import java.util.Optional;

/**
 * Response without success that came from another node.
 *
 * @param unusedRuns delegated runs that the node has not used; empty if it is of a version that
 *     uses all attempts of the route
 * @param fromServer whether a server created the response
 * @param status its HTTP status
 */
record PeerError(Optional<Integer> unusedRuns, boolean fromServer, int status) {
  /** Reads and removes what the node says of the request. */
  static PeerError read(HttpResponse head, GatewayHeaders names) {
    HttpHeaders headers = head.headers();
    Optional<Integer> unusedRuns =
        Optional.ofNullable(headers.getInt(PeerRequestHeaders.UNUSED_RUNS));
    headers.remove(PeerRequestHeaders.UNUSED_RUNS);
    return new PeerError(unusedRuns, headers.contains(names.receipt()), head.status().code());
  }

  /** Returns whether the response of another server can replace the error. */
  boolean isReplaceable(Route route) {
    boolean replaceable =
        fromServer
            ? route.kind() == RequestKind.IDEMPOTENT
            : status == ErrorKind.BACKEND_LOST.httpStatus();
    return unusedRuns.isPresent() && replaceable;
  }
}
