package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests; rejects those with both Content-Length and chunked Transfer-Encoding. */
final class StrictRequestDecoder extends HttpRequestDecoder {
  /**
   * Creates a decoder.
   *
   * @param maxLineBytes limit of the request line, in bytes
   * @param maxHeadBytes limit of the headers, in bytes
   * @param maxChunkBytes limit of a part of the body that is passed to the next handler, in bytes
   */
  StrictRequestDecoder(int maxLineBytes, int maxHeadBytes, int maxChunkBytes) {
    super(maxLineBytes, maxHeadBytes, maxChunkBytes);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and chunked Transfer-Encoding");
  }
}
