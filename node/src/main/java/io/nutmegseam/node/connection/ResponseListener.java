package io.nutmegseam.node.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Handles the response of a backend server. Called on the traffic thread. */
public interface ResponseListener {
  /** Handles the head of the response. */
  void onHead(HttpResponse head);

  /** Handles a part of the body. The buffer is released after the call unless it is retained. */
  void onContent(ByteBuf content);

  /** Handles the end of a complete response. */
  void onComplete(ResponseEnd end);

  /**
   * Handles a request that ended without a complete response.
   *
   * @param sent whether a byte of the request may have reached the server
   * @param reason what happened, for logs and error messages
   */
  void onFailed(boolean sent, String reason);
}
