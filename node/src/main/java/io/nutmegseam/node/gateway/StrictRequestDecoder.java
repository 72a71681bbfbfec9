package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Reads requests; one that states both a length and chunks is unreadable. */
final class StrictRequestDecoder extends HttpRequestDecoder {
  /**
   * Creates a decoder.
   *
   * @param lineBytes largest request line
   * @param headBytes largest head
   * @param chunkBytes largest piece of a body that is passed on at once
   */
  StrictRequestDecoder(int lineBytes, int headBytes, int chunkBytes) {
    super(lineBytes, headBytes, chunkBytes);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both a length and chunks");
  }
}
