package io.nutmegseam.node.caller;

import java.util.Map;
import okio.ByteString;

/** Sends the response of one request to its caller. Not thread-safe: one thread uses it. */
public interface ResponseSink {
  /** Returns whether a part of the response has been sent. */
  boolean isStarted();

  /** Sends a complete response. */
  void sendResponse(int status, String contentType, ByteString body, Map<String, String> headers);

  /**
   * Sends one server-sent event. The first event starts the stream with status 200.
   *
   * @param event text of the event, including the blank line that ends it
   * @return false if the connection to the caller is known to be broken
   */
  boolean sendEvent(String event);

  /** Ends the stream; does nothing if no event was sent. */
  void endStream();
}
