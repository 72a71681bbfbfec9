package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A completely received request of a caller.
 *
 * @param method HTTP method
 * @param target path and query as the caller sent them
 * @param headers HTTP headers
 * @param body complete request body
 * @param arrivedMillis monotonic time at which its last byte was read
 */
record InboundRequest(
    HttpMethod method, String target, HttpHeaders headers, ByteString body, long arrivedMillis) {
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
