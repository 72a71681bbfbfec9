package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request of a caller.
 *
 * @param method its method
 * @param target path and query as the caller sent them
 * @param headers its headers
 * @param body its whole body
 * @param arrivedMillis monotonic time at which its last byte was read
 */
record InboundRequest(
    HttpMethod method, String target, HttpHeaders headers, ByteString body, long arrivedMillis) {
  /** Returns the path without the query. */
  String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /** Returns the host that the caller addressed; empty if it named none. */
  String host() {
    return headers.get(HttpHeaderNames.HOST, "");
  }
}
