package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes HTTP responses, and reports whether received bytes remain undecoded. */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int LINE_BYTES = 8_192;
  private static final int HEAD_BYTES = 65_536;
  private static final int CHUNK_BYTES = 8_192;

  ResponseDecoder() {
    super(LINE_BYTES, HEAD_BYTES, CHUNK_BYTES);
  }

  /** Returns whether bytes have arrived that were not decoded as part of a response. */
  boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }
}
