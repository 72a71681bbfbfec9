package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.connection.ResponseEnd;
import io.nutmegseam.node.connection.ServerConnection;
import java.util.Optional;

/** Supplies the request of an attempt and handles its outcome. Confined to the traffic thread. */
interface AttemptOwner {
  /** Handles that the deadline passed before the request was sent. */
  void onDeadline();

  /** Returns the request to send to the server. */
  ServerConnection.OutboundRequest outboundRequest(ServerEntry server);

  /**
   * Returns whether a response without success is to be withheld, since the request can be retried
   * on another server, or since the response cannot go on with a stream that has begun.
   */
  boolean isFailureWithheld(HttpStatusClass statusClass);

  /** Returns the fingerprints by which the request is recognised if it crashes servers. */
  RequestFingerprints fingerprints();

  /** Handles the head of a response that is to be forwarded. */
  void onHead(HttpResponse head);

  /**
   * Handles a part of the body.
   *
   * @return whether the response can go on; false if it has an event that is too large
   */
  boolean onContent(ByteBuf content);

  /** Returns why a forwarded response is not whole although it has ended; empty if it is whole. */
  Optional<String> findTruncation(ResponseEnd end);

  /** Handles the end of a complete response. */
  void onComplete(ResponseEnd end);

  /**
   * Handles a request that did not run.
   *
   * @param cause value of the metric label for a retry
   * @param misdirected whether the server responded with status 421: it does not have the model
   *     loaded, or is another process than expected
   * @param reason what happened, for logs and error messages
   */
  void onNotRun(String cause, boolean misdirected, String reason);

  /** Handles a request that may have run but got no usable response. */
  void onLost(String reason);

  /**
   * Handles a response without success that was withheld.
   *
   * @param head head of the response
   * @param body complete body of the response
   * @param reason what happened, for logs and error messages
   */
  void onFailure(HttpResponse head, ByteString body, String reason);

  /** Handles a response that ended after its head but before it was complete. */
  void onTruncated(String reason);
}
