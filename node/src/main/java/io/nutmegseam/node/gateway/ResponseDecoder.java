package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpResponseDecoder;

/** Reads answers, and tells whether bytes are left that belong to none. */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int LINE_BYTES = 8_192;
  private static final int HEAD_BYTES = 65_536;
  private static final int CHUNK_BYTES = 8_192;

  ResponseDecoder() {
    super(LINE_BYTES, HEAD_BYTES, CHUNK_BYTES);
  }

  /** Returns whether bytes have arrived that have not been read as part of an answer. */
  boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }
}
