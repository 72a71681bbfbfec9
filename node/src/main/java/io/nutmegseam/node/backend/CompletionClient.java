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
 * Sends completions to model engines and reads their server-sent events. An answer that names
 * another attempt is never passed on, and an answer without its end marker is an error.
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
   * One attempt to run a completion.
   *
   * @param address base address of the engine
   * @param path path of the completion call
   * @param attemptId id of the attempt, echoed by the engine
   * @param baseModel model that an adapter adapts; empty for a model
   * @param priority 0 for interactive, 1 for batch
   * @param body JSON text of the request
   * @param timeoutMillis time left until the deadline
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
   * Sends an attempt and reads its whole answer.
   *
   * @param attempt the attempt
   * @param listener receives the parts
   * @throws BackendException if the answer is refused, lost, incomplete or another attempt's
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
    read(request, attempt, 0, listener);
  }

  /**
   * Reads the rest of an attempt whose connection was lost.
   *
   * @param attempt the attempt
   * @param position tokens that were received already
   * @param listener receives the further parts
   * @throws BackendException if the engine does not know the attempt or the answer is incomplete
   */
  public void resume(Attempt attempt, int position, CompletionListener listener)
      throws BackendException {
    Request request =
        new Request.Builder()
            .url(attempt.address() + "/attempts/" + attempt.attemptId() + "?from=" + position)
            .build();
    read(request, attempt, position, listener);
  }

  /**
   * Cancels an attempt; errors are of no consequence, since the engine ends it in any case.
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
                // The engine is gone, and the attempt with it.
              }

              @Override
              public void onResponse(Call call, Response response) {
                response.close();
              }
            });
  }

  private void read(Request request, Attempt attempt, int position, CompletionListener listener)
      throws BackendException {
    Call call = client.newCall(request);
    call.timeout().timeout(Math.max(1, attempt.timeoutMillis()), TimeUnit.MILLISECONDS);
    boolean answered = false;
    try (Response response = call.execute()) {
      answered = true;
      checkHead(response, attempt);
      readEvents(response.body().source(), position, listener);
    } catch (ConnectException e) {
      throw new BackendException(Outcome.NOT_SENT, "not reached: " + e.getMessage());
    } catch (SocketTimeoutException e) {
      throw new BackendException(Outcome.UNKNOWN, "no answer in time: " + e.getMessage());
    } catch (IOException e) {
      String stage = answered ? "answer cut" : "connection lost before the answer";
      throw new BackendException(
          call.isCanceled() ? Outcome.UNKNOWN : Outcome.CONNECTION_LOST,
          stage + ": " + e.getMessage());
    }
  }

  private static void checkHead(Response response, Attempt attempt)
      throws BackendException, IOException {
    if (!response.isSuccessful()) {
      boolean proved = response.peekBody(1_024).string().contains("\"ran\":\"no\"");
      Outcome outcome = proved ? Outcome.REFUSED : Outcome.UNKNOWN;
      throw new BackendException(outcome, "engine answered " + response.code());
    }
    String echoed = response.header(ATTEMPT_HEADER, "");
    if (!attempt.attemptId().equals(echoed)) {
      throw new CrossedAnswer(attempt.attemptId(), echoed).asException();
    }
  }

  private static void readEvents(BufferedSource source, int position, CompletionListener listener)
      throws IOException, BackendException {
    int received = position;
    int announced = position;
    while (true) {
      String line = source.readUtf8Line();
      if (line == null) {
        throw new BackendException(Outcome.CONNECTION_LOST, "answer ended without its end marker");
      }
      if (line.startsWith("id: ")) {
        announced = Integer.parseInt(line.substring("id: ".length()).trim());
      }
      if (!line.startsWith("data: ")) {
        continue;
      }
      String data = line.substring("data: ".length());
      if (data.equals(END_MARKER)) {
        return;
      }
      boolean repeated = announced <= received;
      if (!repeated) {
        received = announced;
        if (!listener.onData(data, received)) {
          return;
        }
      }
    }
  }

  /** An answer that names another attempt. */
  private record CrossedAnswer(String wanted, String echoed) {
    BackendException asException() {
      return new BackendException(
          Outcome.CROSSED, "answer of attempt \"%s\" came for \"%s\"".formatted(echoed, wanted));
    }
  }
}
