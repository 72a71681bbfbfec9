package io.nutmegseam.node.caller;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import okio.ByteString;

/** Keeps a complete response until it is sent. Not thread-safe: one thread uses it. */
final class DeferredResponse implements ResponseSink {
  private Optional<Consumer<ResponseSink>> response = Optional.empty();

  @Override
  public boolean isStarted() {
    return response.isPresent();
  }

  @Override
  public void sendResponse(
      int status, String contentType, ByteString body, Map<String, String> headers) {
    response = Optional.of(sink -> sink.sendResponse(status, contentType, body, headers));
  }

  @Override
  public boolean sendEvent(String event) {
    throw new IllegalStateException("a response that is kept cannot be a stream");
  }

  @Override
  public void endStream() {}

  /** Sends the response, if there is one. */
  void sendTo(ResponseSink sink) {
    response.ifPresent(send -> send.accept(sink));
  }
}
