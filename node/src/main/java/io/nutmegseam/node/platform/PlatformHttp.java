package io.nutmegseam.node.platform;

import io.nutmegseam.core.platform.PlatformException;
import java.io.IOException;
import java.net.ConnectException;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** One HTTP call to the platform, with its errors sorted by what they prove. */
final class PlatformHttp {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final int NOT_FOUND = 404;

  private final OkHttpClient client;
  private final String baseAddress;

  PlatformHttp(OkHttpClient client, String baseAddress) {
    this.client = client;
    this.baseAddress = baseAddress;
  }

  /** The answer to a call. */
  record Answer(int status, String body) {
    boolean isNotFound() {
      return status == NOT_FOUND;
    }
  }

  Answer get(String pathAndQuery) throws PlatformException {
    return call(new Request.Builder().url(baseAddress + pathAndQuery).build());
  }

  Answer post(String path, String json) throws PlatformException {
    RequestBody body = RequestBody.create(json, JSON);
    return call(new Request.Builder().url(baseAddress + path).post(body).build());
  }

  Answer put(String path, String text) throws PlatformException {
    RequestBody body = RequestBody.create(text, JSON);
    return call(new Request.Builder().url(baseAddress + path).put(body).build());
  }

  private Answer call(Request request) throws PlatformException {
    try (Response response = client.newCall(request).execute()) {
      String body = response.body().string();
      if (response.isSuccessful() || response.code() == NOT_FOUND) {
        return new Answer(response.code(), body);
      }
      boolean refusedFirst = response.code() == 503 || response.code() == 429;
      throw new PlatformException("platform answered " + response.code(), !refusedFirst);
    } catch (ConnectException e) {
      throw new PlatformException("platform not reached: " + e.getMessage(), false);
    } catch (IOException e) {
      throw new PlatformException("platform gave no answer: " + e.getMessage(), true);
    }
  }
}
