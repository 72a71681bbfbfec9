package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;

/** Decides which headers go on to the other side. */
final class ForwardedHeaders {
  /** Headers that concern one connection only. */
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
   * What the gateway sets on a request to a server.
   *
   * @param remainingMillis time that is left for the answer, in milliseconds
   * @param expectedServer id of the server that may run it
   * @param priority urgency at the server; negative for none
   */
  record HeaderValues(long remainingMillis, String expectedServer, int priority) {}

  private ForwardedHeaders() {}

  /** Returns the headers of a request to a server. */
  static HttpHeaders toServer(HttpHeaders received, GatewayHeaders names, HeaderValues stamp) {
    HttpHeaders headers = withoutHops(received);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    names.reserved().forEach(headers::remove);
    headers.set(names.deadlineMillis(), stamp.remainingMillis());
    headers.set(names.expectedServer(), stamp.expectedServer());
    if (stamp.priority() >= 0) {
      headers.set(names.priority(), stamp.priority());
    }
    return headers;
  }

  /** Returns the headers of a server's answer for the caller. */
  static HttpHeaders toCaller(HttpHeaders received) {
    return withoutHops(received);
  }

  private static HttpHeaders withoutHops(HttpHeaders received) {
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
