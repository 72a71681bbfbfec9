package io.nutmegseam.node.platform;

import io.nutmegseam.core.platform.ObjectStore;
import io.nutmegseam.core.platform.PlatformException;
import java.util.Optional;
import okhttp3.OkHttpClient;

/** The object store over HTTP. */
public final class HttpObjectStore implements ObjectStore {
  private final PlatformHttp http;

  /**
   * Creates the adapter.
   *
   * @param client HTTP client with the platform's timeouts
   * @param baseAddress base address of the platform
   */
  public HttpObjectStore(OkHttpClient client, String baseAddress) {
    this.http = new PlatformHttp(client, baseAddress);
  }

  @Override
  public void put(String key, String body) throws PlatformException {
    http.put("/objects/" + key, body);
  }

  @Override
  public Optional<String> get(String key) throws PlatformException {
    PlatformHttp.Answer answer = http.get("/objects/" + key);
    return answer.isNotFound() ? Optional.empty() : Optional.of(answer.body());
  }
}
