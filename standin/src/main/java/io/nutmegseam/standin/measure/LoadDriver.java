package io.nutmegseam.standin.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/**
 * Sends an open-loop load: each request is sent at its scheduled time, regardless of how many
 * earlier requests are still in flight.
 */
final class LoadDriver {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final long RESPONSE_TIMEOUT_SECONDS = 40;
  private static final long PROGRESS_INTERVAL_MILLIS = 10_000;
  private static final long BATCH_DEADLINE_MILLIS = 35_000;
  private static final long INTERACTIVE_DEADLINE_MILLIS = 20_000;

  private final DeploymentPlan plan;
  private final EngineSampler sampler;
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .readTimeout(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
          .retryOnConnectionFailure(false)
          .connectionPool(new ConnectionPool(256, 30, TimeUnit.SECONDS))
          .build();
  private final ExecutorService requestExecutor = Executors.newCachedThreadPool();
  private final List<RequestOutcome> outcomes = Collections.synchronizedList(new ArrayList<>());

  LoadDriver(DeploymentPlan plan, EngineSampler sampler) {
    this.plan = plan;
    this.sampler = sampler;
  }

  /** Returns the deadline of requests with interactive or batch priority, in milliseconds. */
  static long deadlineMillis(boolean interactive) {
    return interactive ? INTERACTIVE_DEADLINE_MILLIS : BATCH_DEADLINE_MILLIS;
  }

  List<RequestOutcome> run(List<Arrival> arrivals) throws InterruptedException {
    long startNanos = System.nanoTime();
    long nextProgressMillis = PROGRESS_INTERVAL_MILLIS;
    for (Arrival arrival : arrivals) {
      long nowMillis = elapsedMillis(startNanos);
      if (arrival.atMillis() > nowMillis) {
        TimeUnit.MILLISECONDS.sleep(arrival.atMillis() - nowMillis);
      }
      if (arrival.atMillis() > nextProgressMillis) {
        System.out.printf(
            "measure: %d s, %d sent, %d done%n",
            nextProgressMillis / 1_000, arrivals.indexOf(arrival), outcomes.size());
        nextProgressMillis += PROGRESS_INTERVAL_MILLIS;
      }
      requestExecutor.execute(() -> send(arrival, startNanos));
    }
    requestExecutor.shutdown();
    if (!requestExecutor.awaitTermination(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      System.out.println("measure: stopped waiting; some requests have no complete response");
    }
    return new ArrayList<>(outcomes);
  }

  private void send(Arrival arrival, long startNanos) {
    boolean cold = !arrival.isPayment() && !sampler.isLoaded(arrival.unit());
    if (cold) {
      sampler.beginColdRequest();
    }
    long[] firstTokenMillis = {-1};
    String errorKind = "";
    boolean complete = false;
    try (Response response = client.newCall(toRequest(arrival)).execute()) {
      if (!response.isSuccessful()) {
        errorKind = parseErrorKind(response.body().string());
      } else if (arrival.isPayment()) {
        complete = !response.body().string().isEmpty();
      } else {
        complete = readStream(response.body().source(), arrival, startNanos, firstTokenMillis);
        errorKind = complete ? "" : "incomplete";
      }
    } catch (IOException e) {
      errorKind = "no-answer";
    } finally {
      if (cold) {
        sampler.endColdRequest();
      }
    }
    long doneMillis = elapsedMillis(startNanos) - arrival.atMillis();
    outcomes.add(
        new RequestOutcome(arrival, cold, firstTokenMillis[0], doneMillis, complete, errorKind));
  }

  private Request toRequest(Arrival arrival) {
    String nodeAddress = plan.callers().get(arrival.node());
    Request.Builder request = new Request.Builder();
    ObjectNode body = HttpExchange.JSON.createObjectNode();
    if (arrival.isPayment()) {
      request
          .url(nodeAddress + "/v1/services/bookings/pay")
          .header("Idempotency-Key", arrival.prompt());
      body.put("key", arrival.prompt());
    } else {
      request.url(nodeAddress + "/v1/completions");
      body.put("model", arrival.unit()).put("prompt", arrival.prompt());
      body.put("max_tokens", arrival.tokens()).put("stream", true);
      request.header("X-Priority", arrival.interactive() ? "interactive" : "batch");
      request.header("X-Deadline-Millis", Long.toString(deadlineMillis(arrival.interactive())));
    }
    return request.post(RequestBody.create(body.toString(), JSON)).build();
  }

  private static boolean readStream(
      BufferedSource source, Arrival arrival, long startNanos, long[] firstTokenMillis)
      throws IOException {
    String line = source.readUtf8Line();
    while (line != null) {
      if (line.equals("data: [DONE]")) {
        return true;
      }
      if (line.startsWith("data: ") && firstTokenMillis[0] < 0) {
        firstTokenMillis[0] = elapsedMillis(startNanos) - arrival.atMillis();
      }
      line = source.readUtf8Line();
    }
    return false;
  }

  private static String parseErrorKind(String body) {
    try {
      JsonNode error = HttpExchange.JSON.readTree(body).path("error");
      return error.path("kind").asText("unknown");
    } catch (IOException e) {
      return "unreadable";
    }
  }

  private static long elapsedMillis(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
