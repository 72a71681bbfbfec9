package io.nutmegseam.node.caller;

import io.jooby.Context;
import io.jooby.Sender;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import okio.ByteString;

/** Sends a response through the Jooby context of its request. */
final class JoobyResponseSink implements ResponseSink {
  private final Context context;
  private final AtomicBoolean callerDisconnected = new AtomicBoolean();
  private Sender sender;
  private boolean started;

  JoobyResponseSink(Context context) {
    this.context = context;
  }

  @Override
  public boolean isStarted() {
    return started;
  }

  @Override
  public void sendResponse(
      int status, String contentType, ByteString body, Map<String, String> headers) {
    started = true;
    context.setResponseCode(status);
    context.setResponseHeader("Content-Type", contentType);
    headers.forEach(context::setResponseHeader);
    context.send(body.toByteArray());
  }

  @Override
  public boolean sendEvent(String event) {
    if (sender == null) {
      started = true;
      context.setResponseCode(200);
      context.setResponseHeader("Content-Type", "text/event-stream");
      context.setResponseHeader("Cache-Control", "no-store");
      sender = context.responseSender();
    }
    sender.write(
        event.getBytes(StandardCharsets.UTF_8),
        (written, cause) -> {
          if (cause != null) {
            callerDisconnected.set(true);
          }
        });
    return !callerDisconnected.get();
  }

  @Override
  public void endStream() {
    if (sender != null) {
      sender.close();
    }
  }
}
