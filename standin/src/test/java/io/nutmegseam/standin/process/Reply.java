package io.nutmegseam.standin.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;

/** A whole HTTP answer; status 0 stands for none. */
record Reply(int status, String body, String retryAfter, long tookMillis) {
  JsonNode json() {
    try {
      return HttpExchange.JSON.readTree(body);
    } catch (IOException e) {
      throw new AssertionError("not JSON: " + body, e);
    }
  }

  String kind() {
    return json().path("error").path("kind").asText();
  }

  String ran() {
    return json().path("error").path("ran").asText();
  }

  /** Returns the text of a chat completion. */
  String content() {
    return json().path("choices").path(0).path("message").path("content").asText();
  }
}
