package io.nutmegseam.node.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer of a backend server. Runs on the traffic thread. */
interface ResponseListener {
  /** Takes the head of the answer. */
  void onHead(HttpResponse head);

  /** Takes a piece of the body, which is released after the call unless it is retained. */
  void onContent(ByteBuf content);

  /** The answer is whole. */
  void onComplete();

  /**
   * The exchange ended without a whole answer.
   *
   * @param sent whether a byte of the request may have reached the server
   * @param reason what happened
   */
  void onFailed(boolean sent, String reason);
}
