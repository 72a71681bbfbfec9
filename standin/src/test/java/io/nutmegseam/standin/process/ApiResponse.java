package io.nutmegseam.standin.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;

/**
 * A complete HTTP response. Status 0 with an empty JSON object as the body means that no complete
 * response was received.
 */
record ApiResponse(int status, String body, String retryAfter, long elapsedMillis) {
  JsonNode json() {
    try {
      return HttpExchange.JSON.readTree(body);
    } catch (IOException e) {
      throw new AssertionError("response body is not JSON: " + body, e);
    }
  }

  String errorKind() {
    return json().path("error").path("kind").asText();
  }

  String errorRan() {
    return json().path("error").path("ran").asText();
  }

  /** Returns the text of a chat completion. */
  String completionText() {
    return json().path("choices").path(0).path("message").path("content").asText();
  }
}
