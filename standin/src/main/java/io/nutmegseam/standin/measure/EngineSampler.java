package io.nutmegseam.standin.measure;

import com.fasterxml.jackson.databind.JsonNode;
import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Periodically reads from the engines which units are loaded, and sums the idle accelerator time
 * while cold requests are in flight.
 */
final class EngineSampler {
  private static final long SAMPLE_INTERVAL_MILLIS = 100;

  private final OkHttpClient client = new OkHttpClient();
  private final List<String> engines;
  private final AtomicInteger coldRequestsInFlight = new AtomicInteger();
  private volatile Set<String> loadedUnits = Set.of();
  private volatile boolean running = true;
  private double idleWhileWaitingMillis;
  private double lastIdleMillis;

  EngineSampler(List<String> engines) {
    this.engines = engines;
  }

  void start() {
    Thread sampler = new Thread(this::run, "engine-watch");
    sampler.setDaemon(true);
    sampler.start();
  }

  void stop() {
    running = false;
  }

  boolean isLoaded(String unit) {
    return loadedUnits.contains(unit);
  }

  void beginColdRequest() {
    coldRequestsInFlight.incrementAndGet();
  }

  void endColdRequest() {
    coldRequestsInFlight.decrementAndGet();
  }

  /**
   * Returns the idle accelerator time of loaded units over the sample intervals at whose end a cold
   * request was in flight, in milliseconds.
   */
  synchronized double idleWhileWaitingMillis() {
    return idleWhileWaitingMillis;
  }

  /**
   * Reads the statistics of all engines and returns their sums.
   *
   * @throws IOException if an engine cannot be reached or returns invalid JSON
   */
  EngineTotals readTotals() throws IOException {
    EngineTotals totals = new EngineTotals(0, 0, 0, 0, 0);
    for (String engine : engines) {
      JsonNode stats = get(engine + "/standin/stats");
      totals =
          totals.plus(
              new EngineTotals(
                  stats.path("busyAcceleratorMillis").asDouble(),
                  stats.path("idleAcceleratorMillis").asDouble(),
                  stats.path("loads").asInt(),
                  stats.path("unusedLoads").asInt(),
                  stats.path("overcommits").asInt()));
    }
    return totals;
  }

  private void run() {
    while (running) {
      try {
        sample();
        TimeUnit.MILLISECONDS.sleep(SAMPLE_INTERVAL_MILLIS);
      } catch (IOException e) {
        // An engine is unreachable; the next iteration retries.
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void sample() throws IOException {
    Set<String> loadedNow = new HashSet<>();
    for (String engine : engines) {
      for (JsonNode item : get(engine + "/control/inventory").path("items")) {
        if (item.path("state").asText().equals("LOADED")) {
          loadedNow.add(item.path("unit").asText());
        }
      }
    }
    loadedUnits = loadedNow;
    double idleMillis = readTotals().idleMillis();
    synchronized (this) {
      if (coldRequestsInFlight.get() > 0 && lastIdleMillis > 0) {
        idleWhileWaitingMillis += idleMillis - lastIdleMillis;
      }
      lastIdleMillis = idleMillis;
    }
  }

  private JsonNode get(String url) throws IOException {
    Request request = new Request.Builder().url(url).build();
    try (Response response = client.newCall(request).execute()) {
      return HttpExchange.JSON.readTree(response.body().string());
    }
  }
}
