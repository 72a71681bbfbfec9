package io.nutmegseam.node.connection;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** How the end of a response body is marked. */
public enum BodyFraming {
  /** By its length, which may be 0. */
  LENGTH("length"),
  /** By a last chunk. */
  CHUNKED("chunked"),
  /** By the end of the connection. */
  CONNECTION("connection");

  private final String label;

  BodyFraming(String label) {
    this.label = label;
  }

  /** Returns how the end of a response to a request other than HEAD is marked. */
  public static BodyFraming of(HttpResponse head) {
    if (HttpUtil.isTransferEncodingChunked(head)) {
      return CHUNKED;
    }
    return HttpUtil.isContentLengthSet(head) || hasNoBody(head.status()) ? LENGTH : CONNECTION;
  }

  /** Returns the name in log lines and metric labels. */
  public String label() {
    return label;
  }

  private static boolean hasNoBody(HttpResponseStatus status) {
    return status.equals(HttpResponseStatus.NO_CONTENT)
        || status.equals(HttpResponseStatus.NOT_MODIFIED);
  }
}
