package io.nutmegseam.standin.environment;

import io.nutmegseam.standin.engine.EngineStandin;
import io.nutmegseam.standin.platform.PlatformStandin;
import io.nutmegseam.standin.platform.WeightStore;
import io.nutmegseam.standin.service.ServiceStandin;
import java.io.IOException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Runs the stand-ins of one process. */
public final class StandinEnvironment implements AutoCloseable {
  private static final int PARALLEL_ADAPTER_FETCHES = 32;
  private static final long ADAPTER_FETCH_MILLIS = 8;
  private static final MediaType JSON = MediaType.get("application/json");

  private final List<Runnable> closers = new ArrayList<>();

  private StandinEnvironment() {}

  /**
   * Starts the stand-ins that the settings describe.
   *
   * @param settings the stand-ins and their ports
   * @param clock the wall clock
   */
  public static StandinEnvironment start(StandinSettings settings, Clock clock) {
    StandinEnvironment environment = new StandinEnvironment();
    if (settings.platformPort() > 0) {
      WeightStore weights =
          new WeightStore(
              settings.loadsPerSecond(),
              settings.loadsInParallel(),
              PARALLEL_ADAPTER_FETCHES,
              ADAPTER_FETCH_MILLIS);
      PlatformStandin platform = new PlatformStandin(settings.platformPort(), weights);
      environment.closers.add(platform::close);
    }
    EngineStandin.WeightSource weightSource = remoteWeightSource(settings.platformAddress());
    for (StandinSettings.Engine engine : settings.engines()) {
      EngineStandin standin =
          new EngineStandin(engine.port(), engine.profile(), weightSource, clock);
      environment.closers.add(standin::close);
    }
    for (StandinSettings.Service service : settings.services()) {
      ServiceStandin standin = new ServiceStandin(service.port(), service.workMillis());
      environment.closers.add(standin::close);
    }
    return environment;
  }

  /** Returns a weight source that fetches from a platform stand-in over HTTP. */
  public static EngineStandin.WeightSource remoteWeightSource(String platformAddress) {
    OkHttpClient client = new OkHttpClient.Builder().readTimeout(java.time.Duration.ZERO).build();
    return adapter -> {
      RequestBody body = RequestBody.create("{\"adapter\":" + adapter + "}", JSON);
      Request request =
          new Request.Builder().url(platformAddress + "/weights/fetch").post(body).build();
      try (Response response = client.newCall(request).execute()) {
        if (!response.isSuccessful()) {
          throw new IOException("weight store responded with status " + response.code());
        }
      }
    };
  }

  @Override
  public void close() {
    closers.forEach(Runnable::run);
  }
}
