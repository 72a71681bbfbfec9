package io.nutmegseam.node.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.node.backend.CompletionListener;
import java.util.Map;
import okio.ByteString;

/** Relays a completion to its caller: event by event, or as one response when it is complete. */
final class CompletionRelay implements CompletionListener {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final CallerRequest request;
  private final ResponseSink sink;
  private final StringBuilder text = new StringBuilder();
  private int position;
  private boolean callerDisconnected;

  CompletionRelay(CallerRequest request, ResponseSink sink) {
    this.request = request;
    this.sink = sink;
  }

  @Override
  public boolean onData(String data, int newPosition) {
    position = newPosition;
    if (request.stream()) {
      callerDisconnected = !sink.sendEvent("data: " + data + "\n\n");
    } else {
      text.append(content(data));
    }
    return !callerDisconnected;
  }

  int position() {
    return position;
  }

  boolean isCallerDisconnected() {
    return callerDisconnected;
  }

  /** Completes the response after its end marker was received. */
  void finish() {
    if (callerDisconnected) {
      return;
    }
    if (request.stream()) {
      sink.sendEvent("data: [DONE]\n\n");
      sink.endStream();
    } else {
      sink.sendResponse(
          200, "application/json", ByteString.encodeUtf8(completeResponse()), Map.of());
    }
  }

  private static String content(String data) {
    try {
      return JSON.readTree(data).path("choices").path(0).path("delta").path("content").asText();
    } catch (JsonProcessingException e) {
      return "";
    }
  }

  private String completeResponse() {
    ObjectNode response = JSON.createObjectNode();
    response.put("id", request.id());
    response.put("model", request.name());
    boolean chat = request.kind() == CallerRequest.Kind.CHAT;
    response.put("object", chat ? "chat.completion" : "text_completion");
    ObjectNode choice = response.putArray("choices").addObject();
    choice.put("index", 0);
    choice.put("finish_reason", "stop");
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text.toString());
    } else {
      choice.put("text", text.toString());
    }
    response.putObject("usage").put("completion_tokens", position);
    return response.toString();
  }
}
