package io.nutmegseam.node.caller;

import java.util.Map;
import okio.ByteString;

/** The way back to a caller. Used by one thread. */
public interface ResponseSink {
  /** Returns whether a byte of the answer has been sent. */
  boolean isStarted();

  /** Sends a whole answer. */
  void sendResponse(int status, String contentType, ByteString body, Map<String, String> headers);

  /**
   * Sends one server-sent event; the first one starts the stream.
   *
   * @param event the event's text, with its final empty line
   * @return whether the caller is still there
   */
  boolean sendEvent(String event);

  /** Ends a stream. */
  void endStream();
}
