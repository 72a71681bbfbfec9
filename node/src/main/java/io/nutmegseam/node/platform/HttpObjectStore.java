package io.nutmegseam.node.platform;

import io.nutmegseam.core.platform.ObjectStore;
import io.nutmegseam.core.platform.PlatformException;
import java.util.Optional;
import okhttp3.OkHttpClient;

/** Accesses the platform's object store over HTTP. */
public final class HttpObjectStore implements ObjectStore {
  private final PlatformHttpClient http;

  /**
   * Creates the client.
   *
   * @param client HTTP client with the platform's timeouts
   * @param baseAddress base URL of the platform's services
   */
  public HttpObjectStore(OkHttpClient client, String baseAddress) {
    this.http = new PlatformHttpClient(client, baseAddress);
  }

  @Override
  public void put(String key, String body) throws PlatformException {
    http.put("/objects/" + key, body);
  }

  @Override
  public Optional<String> get(String key) throws PlatformException {
    PlatformHttpClient.PlatformResponse response = http.get("/objects/" + key);
    return response.isNotFound() ? Optional.empty() : Optional.of(response.body());
  }
}
