package io.nutmegseam.node.platform;

import io.nutmegseam.core.platform.PlatformException;
import java.io.IOException;
import java.net.ConnectException;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Sends requests to the platform; each error states whether a write may have been applied. */
final class PlatformHttpClient {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final int NOT_FOUND = 404;

  private final OkHttpClient client;
  private final String baseAddress;

  PlatformHttpClient(OkHttpClient client, String baseAddress) {
    this.client = client;
    this.baseAddress = baseAddress;
  }

  /** A response with a successful status or 404. */
  record PlatformResponse(int status, String body) {
    boolean isNotFound() {
      return status == NOT_FOUND;
    }
  }

  PlatformResponse get(String pathAndQuery) throws PlatformException {
    return call(new Request.Builder().url(baseAddress + pathAndQuery).build());
  }

  PlatformResponse post(String path, String json) throws PlatformException {
    RequestBody body = RequestBody.create(json, JSON);
    return call(new Request.Builder().url(baseAddress + path).post(body).build());
  }

  PlatformResponse put(String path, String text) throws PlatformException {
    RequestBody body = RequestBody.create(text, JSON);
    return call(new Request.Builder().url(baseAddress + path).put(body).build());
  }

  private PlatformResponse call(Request request) throws PlatformException {
    try (Response response = client.newCall(request).execute()) {
      String body = response.body().string();
      if (response.isSuccessful() || response.code() == NOT_FOUND) {
        return new PlatformResponse(response.code(), body);
      }
      boolean rejectedBeforeApplying = response.code() == 503 || response.code() == 429;
      throw new PlatformException(
          "platform responded with status " + response.code(), !rejectedBeforeApplying);
    } catch (ConnectException e) {
      throw new PlatformException("platform cannot be reached: " + e.getMessage(), false);
    } catch (IOException e) {
      throw new PlatformException("no complete response from platform: " + e.getMessage(), true);
    }
  }
}
