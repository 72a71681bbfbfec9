package io.nutmegseam.node.body;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;
import java.util.OptionalLong;

/** Reads what the head of a request says of the length of its body. */
public final class BodyLengths {
  private BodyLengths() {}

  /** Returns the length of the body in bytes, which is 0 without a body; empty if it is chunked. */
  public static OptionalLong of(HttpRequest request) {
    return HttpUtil.isTransferEncodingChunked(request)
        ? OptionalLong.empty()
        : OptionalLong.of(HttpUtil.getContentLength(request, 0L));
  }

  /**
   * Returns whether two HTTP implementations could disagree on where the request ends. Such a
   * request is rejected, since it could smuggle another request past one of them.
   */
  public static boolean areAmbiguous(HttpHeaders headers) {
    boolean chunked = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    int lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size();
    boolean knownCoding =
        !chunked
            || "chunked"
                .equals(headers.get(HttpHeaderNames.TRANSFER_ENCODING).toLowerCase(Locale.ROOT));
    return (chunked && lengths > 0) || lengths > 1 || !knownCoding;
  }
}
