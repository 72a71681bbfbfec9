package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;

/**
 * A completely received request of a caller.
 *
 * @param method HTTP method
 * @param target path and query as the caller sent them
 * @param headers HTTP headers
 * @param body complete request body
 * @param arrivedMillis monotonic time at which its last byte was read
 * @param fromPeer whether another node sent the request, since it cannot send it to a server itself
 */
record InboundRequest(
    HttpMethod method,
    String target,
    HttpHeaders headers,
    ByteString body,
    long arrivedMillis,
    boolean fromPeer) {
  /** Returns the number of servers at which the request may have run before it got here. */
  int runsBefore() {
    return fromPeer ? headers.getInt(PeerRequestHeaders.RUNS, 0) : 0;
  }

  /**
   * Returns the number of servers at which the request may have run before it got here and at this
   * node; empty if the sender leaves it to the route.
   */
  Optional<Integer> maxRuns() {
    return fromPeer
        ? Optional.ofNullable(headers.getInt(PeerRequestHeaders.DELEGATED_RUNS))
            .map(runs -> runsBefore() + Math.max(1, runs))
        : Optional.empty();
  }

  /** Returns the path without the query. */
  String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /** Returns the value of the Host header; empty if there is none. */
  String host() {
    return headers.get(HttpHeaderNames.HOST, "");
  }
}
