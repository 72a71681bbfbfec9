package io.nutmegseam.node.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.nutmegseam.node.http.CompleteResponses;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** HTTP client of a node's operator interface. */
final class OperatorClient {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final Duration TIMEOUT = Duration.ofSeconds(15);
  private static final int FIRST_SERVER_ERROR = 500;

  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .callTimeout(TIMEOUT)
          .retryOnConnectionFailure(false)
          .addNetworkInterceptor(new CompleteResponses())
          .build();
  private final String address;
  private final String token;

  OperatorClient(String address, String token) {
    this.address = address;
    this.token = token;
  }

  OperatorClient withAddress(String otherAddress) {
    return new OperatorClient(otherAddress, token);
  }

  JsonNode get(String path) throws CommandException {
    return call("GET", path, null, Map.of());
  }

  JsonNode post(String path, String body, Map<String, String> headers) throws CommandException {
    return call("POST", path, RequestBody.create(body, JSON_TYPE), headers);
  }

  JsonNode delete(String path, Map<String, String> headers) throws CommandException {
    return call("DELETE", path, null, headers);
  }

  private JsonNode call(String method, String path, RequestBody body, Map<String, String> headers)
      throws CommandException {
    try {
      Request.Builder request =
          new Request.Builder()
              .url(address + path)
              .method(method, body)
              .header("Authorization", "Bearer " + token);
      headers.forEach(request::header);
      try (Response response = client.newCall(request.build()).execute()) {
        return parseResponse(response.code(), response.body().string());
      }
    } catch (IllegalArgumentException e) {
      throw new CommandException(ExitStatus.USAGE, address + " is not a valid URL");
    } catch (IOException e) {
      throw new CommandException(
          ExitStatus.UNREACHABLE, address + " can't be reached: " + e.getMessage());
    }
  }

  private static JsonNode parseResponse(int status, String text) throws CommandException {
    JsonNode node = parseJson(text);
    if (status < 300) {
      return node;
    }
    JsonNode error = node.path("error");
    String message = error.path("kind").asText() + ": " + error.path("message").asText();
    if (error.path("kind").asText().equals("invalid-record")) {
      throw new CommandException(ExitStatus.USAGE, error.path("message").asText());
    }
    ExitStatus exitStatus = status >= FIRST_SERVER_ERROR ? ExitStatus.UNREACHABLE : ExitStatus.NO;
    throw new CommandException(exitStatus, message);
  }

  private static JsonNode parseJson(String text) throws CommandException {
    try {
      return JSON.readTree(text);
    } catch (JsonProcessingException e) {
      throw new CommandException(ExitStatus.UNREACHABLE, "the response is not JSON: " + text);
    }
  }
}
