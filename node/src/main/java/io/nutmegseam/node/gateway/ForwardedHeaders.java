package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;

/** Selects the headers that the gateway forwards to servers and to callers. */
final class ForwardedHeaders {
  /** Headers that apply to a single connection and are not forwarded. */
  private static final List<String> HOP_BY_HOP =
      List.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect");

  /**
   * Values of the headers that the gateway sets on a request to a server.
   *
   * @param remainingMillis time left until the deadline, in milliseconds
   * @param expectedServer id of the server that may run the request
   * @param priority priority at the server, lower is more urgent; negative to set no header
   */
  record HeaderValues(long remainingMillis, String expectedServer, int priority) {}

  private ForwardedHeaders() {}

  /**
   * Returns the headers of a request to a server: those of the caller without hop-by-hop headers
   * and headers reserved for the gateway, and those that the gateway sets.
   */
  static HttpHeaders toServer(HttpHeaders received, GatewayHeaders names, HeaderValues values) {
    HttpHeaders headers = withoutHopByHop(received);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    names.reserved().forEach(headers::remove);
    headers.remove(PeerRequestHeaders.RUNS);
    headers.remove(PeerRequestHeaders.DELEGATED_RUNS);
    headers.set(names.deadlineMillis(), values.remainingMillis());
    headers.set(names.expectedServer(), values.expectedServer());
    if (values.priority() >= 0) {
      headers.set(names.priority(), values.priority());
    }
    return headers;
  }

  /**
   * Returns the headers of a request to another node: those of the caller without hop-by-hop
   * headers, and those that the gateway sets.
   *
   * @param received headers of the caller's request
   * @param names names of the headers
   * @param remainingMillis time left until the deadline, in milliseconds
   * @param history attempts of the request, with the present one
   */
  static HttpHeaders toPeer(
      HttpHeaders received, GatewayHeaders names, long remainingMillis, AttemptHistory history) {
    HttpHeaders headers = withoutHopByHop(received);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    headers.set(names.deadlineMillis(), remainingMillis);
    headers.set(PeerRequestHeaders.RUNS, history.runs());
    headers.set(PeerRequestHeaders.DELEGATED_RUNS, history.delegatedRuns());
    return headers;
  }

  /** Returns the headers of a server's response without hop-by-hop headers. */
  static HttpHeaders toCaller(HttpHeaders received) {
    return withoutHopByHop(received);
  }

  private static HttpHeaders withoutHopByHop(HttpHeaders received) {
    HttpHeaders headers =
        DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    headers.set(received);
    for (String line : received.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : line.split(",", -1)) {
        headers.remove(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    HOP_BY_HOP.forEach(headers::remove);
    return headers;
  }
}
