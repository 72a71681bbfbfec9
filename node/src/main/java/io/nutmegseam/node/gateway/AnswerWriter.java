package io.nutmegseam.node.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.nutmegseam.core.error.RequestException;

/** Writes the answer of one request to its caller. Confined to the traffic thread. */
interface AnswerWriter {
  /** Writes an error of the gateway's own. */
  void refuse(RequestException error);

  /**
   * Writes the head of a server's answer.
   *
   * @param status its status
   * @param headers its headers, without those of one connection
   */
  void head(HttpResponseStatus status, HttpHeaders headers);

  /** Writes a piece of the body; retains it if needed. */
  void content(ByteBuf content);

  /** Ends a whole answer. */
  void end();

  /** Closes the connection, so that the answer doesn't look whole. */
  void abort();

  /** Returns whether the caller reads fast enough. */
  boolean isWritable();
}
