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

/** Sends an open-loop load: each request starts at its time, however slow the answers are. */
final class Driver {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final long LAST_ANSWER_SECONDS = 40;
  private static final long PROGRESS_MILLIS = 10_000;
  private static final long BATCH_DEADLINE_MILLIS = 35_000;
  private static final long INTERACTIVE_DEADLINE_MILLIS = 20_000;

  private final Plan plan;
  private final EngineWatch watch;
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .readTimeout(LAST_ANSWER_SECONDS, TimeUnit.SECONDS)
          .retryOnConnectionFailure(false)
          .connectionPool(new ConnectionPool(256, 30, TimeUnit.SECONDS))
          .build();
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final List<Outcome> outcomes = Collections.synchronizedList(new ArrayList<>());

  Driver(Plan plan, EngineWatch watch) {
    this.plan = plan;
    this.watch = watch;
  }

  /** Returns the deadline that the driver gives a request. */
  static long deadlineMillis(boolean interactive) {
    return interactive ? INTERACTIVE_DEADLINE_MILLIS : BATCH_DEADLINE_MILLIS;
  }

  List<Outcome> run(List<Arrival> arrivals) throws InterruptedException {
    long startNanos = System.nanoTime();
    long nextProgressMillis = PROGRESS_MILLIS;
    for (Arrival arrival : arrivals) {
      long nowMillis = sinceMillis(startNanos);
      if (arrival.atMillis() > nowMillis) {
        TimeUnit.MILLISECONDS.sleep(arrival.atMillis() - nowMillis);
      }
      if (arrival.atMillis() > nextProgressMillis) {
        System.out.printf(
            "measure: %d s, %d sent, %d done%n",
            nextProgressMillis / 1_000, arrivals.indexOf(arrival), outcomes.size());
        nextProgressMillis += PROGRESS_MILLIS;
      }
      callers.execute(() -> send(arrival, startNanos));
    }
    callers.shutdown();
    if (!callers.awaitTermination(LAST_ANSWER_SECONDS, TimeUnit.SECONDS)) {
      System.out.println("measure: requests without an answer were given up");
    }
    return new ArrayList<>(outcomes);
  }

  private void send(Arrival arrival, long startNanos) {
    boolean cold = !arrival.isPayment() && !watch.isLoaded(arrival.unit());
    if (cold) {
      watch.beginCold();
    }
    long[] firstToken = {-1};
    String error = "";
    boolean whole = false;
    try (Response response = client.newCall(request(arrival)).execute()) {
      if (!response.isSuccessful()) {
        error = errorKind(response.body().string());
      } else if (arrival.isPayment()) {
        whole = !response.body().string().isEmpty();
      } else {
        whole = readStream(response.body().source(), arrival, startNanos, firstToken);
        error = whole ? "" : "incomplete";
      }
    } catch (IOException e) {
      error = "no-answer";
    } finally {
      if (cold) {
        watch.endCold();
      }
    }
    long doneMillis = sinceMillis(startNanos) - arrival.atMillis();
    outcomes.add(new Outcome(arrival, cold, firstToken[0], doneMillis, whole, error));
  }

  private Request request(Arrival arrival) {
    String node = plan.callers().get(arrival.node());
    Request.Builder request = new Request.Builder();
    ObjectNode body = HttpExchange.JSON.createObjectNode();
    if (arrival.isPayment()) {
      request.url(node + "/v1/services/bookings/pay").header("Idempotency-Key", arrival.prompt());
      body.put("key", arrival.prompt());
    } else {
      request.url(node + "/v1/completions");
      body.put("model", arrival.unit()).put("prompt", arrival.prompt());
      body.put("max_tokens", arrival.tokens()).put("stream", true);
      request.header("X-Priority", arrival.interactive() ? "interactive" : "batch");
      request.header("X-Deadline-Millis", Long.toString(deadlineMillis(arrival.interactive())));
    }
    return request.post(RequestBody.create(body.toString(), JSON)).build();
  }

  private static boolean readStream(
      BufferedSource source, Arrival arrival, long startNanos, long[] firstToken)
      throws IOException {
    String line = source.readUtf8Line();
    while (line != null) {
      if (line.equals("data: [DONE]")) {
        return true;
      }
      if (line.startsWith("data: ") && firstToken[0] < 0) {
        firstToken[0] = sinceMillis(startNanos) - arrival.atMillis();
      }
      line = source.readUtf8Line();
    }
    return false;
  }

  private static String errorKind(String body) {
    try {
      JsonNode error = HttpExchange.JSON.readTree(body).path("error");
      return error.path("kind").asText("unknown");
    } catch (IOException e) {
      return "unreadable";
    }
  }

  private static long sinceMillis(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
