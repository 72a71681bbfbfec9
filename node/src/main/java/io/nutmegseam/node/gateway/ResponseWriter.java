package io.nutmegseam.node.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.nutmegseam.core.error.RequestException;

/** Writes the response of one request to its caller. Confined to the traffic thread. */
interface ResponseWriter {
  /** Writes a complete error response made by the gateway itself. */
  void writeError(RequestException error);

  /**
   * Writes the head of a server's response.
   *
   * @param status its status
   * @param headers its headers, without hop-by-hop headers; may be modified
   */
  void writeHead(HttpResponseStatus status, HttpHeaders headers);

  /** Writes a part of the body; retains the buffer if needed. */
  void writeContent(ByteBuf content);

  /** Ends a complete response. */
  void end();

  /** Closes the connection, so that a truncated response does not look complete to the caller. */
  void abort();

  /** Returns whether more data can be written; false while the caller reads too slowly. */
  boolean isWritable();
}
