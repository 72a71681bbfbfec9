package io.nutmegseam.node.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.node.backend.CompletionListener;
import java.util.Map;
import okio.ByteString;

/** Passes a completion on: event by event, or as one answer when it is complete. */
final class CompletionRelay implements CompletionListener {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final CallerRequest call;
  private final ResponseSink sink;
  private final StringBuilder text = new StringBuilder();
  private int position;
  private boolean callerGone;

  CompletionRelay(CallerRequest call, ResponseSink sink) {
    this.call = call;
    this.sink = sink;
  }

  @Override
  public boolean onData(String data, int newPosition) {
    position = newPosition;
    if (call.stream()) {
      callerGone = !sink.sendEvent("data: " + data + "\n\n");
    } else {
      text.append(content(data));
    }
    return !callerGone;
  }

  int position() {
    return position;
  }

  boolean isCallerDisconnected() {
    return callerGone;
  }

  /** Ends the answer, whose end marker has come. */
  void finish() {
    if (callerGone) {
      return;
    }
    if (call.stream()) {
      sink.sendEvent("data: [DONE]\n\n");
      sink.endStream();
    } else {
      sink.sendResponse(200, "application/json", ByteString.encodeUtf8(whole()), Map.of());
    }
  }

  private static String content(String data) {
    try {
      return JSON.readTree(data).path("choices").path(0).path("delta").path("content").asText();
    } catch (JsonProcessingException e) {
      return "";
    }
  }

  private String whole() {
    ObjectNode answer = JSON.createObjectNode();
    answer.put("id", call.id());
    answer.put("model", call.name());
    boolean chat = call.kind() == CallerRequest.Kind.CHAT;
    answer.put("object", chat ? "chat.completion" : "text_completion");
    ObjectNode choice = answer.putArray("choices").addObject();
    choice.put("index", 0);
    choice.put("finish_reason", "stop");
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text.toString());
    } else {
      choice.put("text", text.toString());
    }
    answer.putObject("usage").put("completion_tokens", position);
    return answer.toString();
  }
}
