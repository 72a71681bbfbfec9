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

/** Samples the engines: which units are loaded, and accelerators idle while requests wait. */
final class EngineWatch {
  private static final long SAMPLE_MILLIS = 100;

  private final OkHttpClient client = new OkHttpClient();
  private final List<String> engines;
  private final AtomicInteger waitingCold = new AtomicInteger();
  private volatile Set<String> loaded = Set.of();
  private volatile boolean running = true;
  private double idleWhileWaitingMillis;
  private double lastIdleMillis;

  EngineWatch(List<String> engines) {
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
    return loaded.contains(unit);
  }

  void beginCold() {
    waitingCold.incrementAndGet();
  }

  void endCold() {
    waitingCold.decrementAndGet();
  }

  /** Returns the accelerator time that loaded units held unused while cold requests waited. */
  synchronized double idleWhileWaitingMillis() {
    return idleWhileWaitingMillis;
  }

  /** Returns the statistics of every engine. */
  EngineTotals totals() throws IOException {
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
        TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
      } catch (IOException e) {
        // An engine is away; the next sample tries again.
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void sample() throws IOException {
    Set<String> now = new HashSet<>();
    for (String engine : engines) {
      for (JsonNode item : get(engine + "/control/inventory").path("items")) {
        if (item.path("state").asText().equals("LOADED")) {
          now.add(item.path("unit").asText());
        }
      }
    }
    loaded = now;
    double idleMillis = totals().idleMillis();
    synchronized (this) {
      if (waitingCold.get() > 0 && lastIdleMillis > 0) {
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
