package io.nutmegseam.node.backend;

import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.backend.BackendException.Outcome;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/**
 * Sends completion requests to model engines and reads the server-sent events of the responses.
 * Rejects a response that names another attempt, and a response without its end marker.
 */
public final class CompletionClient {
  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final String END_MARKER = "[DONE]";
  private static final String ATTEMPT_HEADER = "X-Attempt-Id";

  private final OkHttpClient client;

  /**
   * Creates a client.
   *
   * @param client HTTP client without a read timeout; must not retry by itself
   */
  public CompletionClient(OkHttpClient client) {
    this.client = client;
  }

  /**
   * An attempt to run a completion.
   *
   * @param address base address of the engine
   * @param path path of the completion request
   * @param attemptId id of the attempt, which the engine returns in its response
   * @param baseModel base model of the requested adapter; empty if a model is requested
   * @param priority 0 for interactive, 1 for batch
   * @param body JSON text of the request
   * @param timeoutMillis time left until the deadline, in milliseconds
   */
  public record Attempt(
      String address,
      String path,
      String attemptId,
      String baseModel,
      int priority,
      String body,
      long timeoutMillis) {}

  /**
   * Sends an attempt and reads its response until the end marker, or until the listener stops it.
   *
   * @param attempt the attempt
   * @param listener receives the events of the response
   * @throws BackendException if the engine refuses the request, or the response is missing,
   *     incomplete or that of another attempt
   */
  public void run(Attempt attempt, CompletionListener listener) throws BackendException {
    Request request =
        new Request.Builder()
            .url(attempt.address() + attempt.path())
            .header(ATTEMPT_HEADER, attempt.attemptId())
            .header("X-Base-Model", attempt.baseModel())
            .header("X-Priority", Integer.toString(attempt.priority()))
            .post(RequestBody.create(attempt.body(), JSON_TYPE))
            .build();
    readResponse(request, attempt, 0, listener);
  }

  /**
   * Reads the remaining response of an attempt whose connection was lost.
   *
   * @param attempt the attempt
   * @param position number of tokens received so far
   * @param listener receives the remaining events
   * @throws BackendException if the engine does not know the attempt or the response is incomplete
   */
  public void resume(Attempt attempt, int position, CompletionListener listener)
      throws BackendException {
    Request request =
        new Request.Builder()
            .url(attempt.address() + "/attempts/" + attempt.attemptId() + "?from=" + position)
            .build();
    readResponse(request, attempt, position, listener);
  }

  /**
   * Cancels an attempt without waiting for the engine. Errors are ignored, since the engine ends
   * the attempt in any case.
   *
   * @param attempt the attempt
   */
  public void cancel(Attempt attempt) {
    Request request =
        new Request.Builder()
            .url(attempt.address() + "/attempts/" + attempt.attemptId())
            .delete()
            .build();
    client
        .newCall(request)
        .enqueue(
            new okhttp3.Callback() {
              @Override
              public void onFailure(Call call, IOException e) {
                // The engine is unavailable, and its attempt has ended with it.
              }

              @Override
              public void onResponse(Call call, Response response) {
                response.close();
              }
            });
  }

  private void readResponse(
      Request request, Attempt attempt, int position, CompletionListener listener)
      throws BackendException {
    Call call = client.newCall(request);
    call.timeout().timeout(Math.max(1, attempt.timeoutMillis()), TimeUnit.MILLISECONDS);
    boolean hasResponse = false;
    try (Response response = call.execute()) {
      hasResponse = true;
      checkResponseHead(response, attempt);
      readEvents(response.body().source(), position, listener);
    } catch (ConnectException e) {
      throw new BackendException(Outcome.NOT_SENT, "cannot connect: " + e.getMessage());
    } catch (SocketTimeoutException e) {
      throw new BackendException(Outcome.UNKNOWN, "no response in time: " + e.getMessage());
    } catch (IOException e) {
      String stage = hasResponse ? "response truncated" : "connection lost before the response";
      throw new BackendException(
          call.isCanceled() ? Outcome.UNKNOWN : Outcome.CONNECTION_LOST,
          stage + ": " + e.getMessage());
    }
  }

  private static void checkResponseHead(Response response, Attempt attempt)
      throws BackendException, IOException {
    if (!response.isSuccessful()) {
      boolean provedNotRun = response.peekBody(1_024).string().contains("\"ran\":\"no\"");
      Outcome outcome = provedNotRun ? Outcome.REFUSED : Outcome.UNKNOWN;
      throw new BackendException(outcome, "engine responded with status " + response.code());
    }
    String receivedId = response.header(ATTEMPT_HEADER, "");
    if (!attempt.attemptId().equals(receivedId)) {
      throw new MismatchedResponse(attempt.attemptId(), receivedId).toException();
    }
  }

  private static void readEvents(BufferedSource source, int position, CompletionListener listener)
      throws IOException, BackendException {
    int received = position;
    int eventPosition = position;
    while (true) {
      String line = source.readUtf8Line();
      if (line == null) {
        throw new BackendException(
            Outcome.CONNECTION_LOST, "response ended without its end marker");
      }
      if (line.startsWith("id: ")) {
        eventPosition = Integer.parseInt(line.substring("id: ".length()).trim());
      }
      if (!line.startsWith("data: ")) {
        continue;
      }
      String data = line.substring("data: ".length());
      if (data.equals(END_MARKER)) {
        return;
      }
      boolean repeated = eventPosition <= received;
      if (!repeated) {
        received = eventPosition;
        if (!listener.onData(data, received)) {
          return;
        }
      }
    }
  }

  /** A response that names another attempt. */
  private record MismatchedResponse(String sentId, String receivedId) {
    BackendException toException() {
      return new BackendException(
          Outcome.CROSSED,
          "response of attempt \"%s\" received for attempt \"%s\"".formatted(receivedId, sentId));
    }
  }
}
