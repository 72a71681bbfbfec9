package io.nutmegseam.node.platform;

import io.nutmegseam.core.platform.TableException;
import java.io.IOException;
import java.net.ConnectException;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** One HTTP call to the platform, with its errors sorted by what they prove. */
final class PlatformHttpClient {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final int NOT_FOUND = 404;

  private final OkHttpClient client;
  private final String baseAddress;

  PlatformHttpClient(OkHttpClient client, String baseAddress) {
    this.client = client;
    this.baseAddress = baseAddress;
  }

  /** The answer to a call. */
  record PlatformResponse(int status, String body) {
    boolean isNotFound() {
      return status == NOT_FOUND;
    }
  }

  PlatformResponse get(String pathAndQuery) throws TableException {
    return call(new Request.Builder().url(baseAddress + pathAndQuery).build());
  }

  PlatformResponse post(String path, String json) throws TableException {
    RequestBody body = RequestBody.create(json, JSON);
    return call(new Request.Builder().url(baseAddress + path).post(body).build());
  }

  PlatformResponse put(String path, String text) throws TableException {
    RequestBody body = RequestBody.create(text, JSON);
    return call(new Request.Builder().url(baseAddress + path).put(body).build());
  }

  private PlatformResponse call(Request request) throws TableException {
    try (Response response = client.newCall(request).execute()) {
      String body = response.body().string();
      if (response.isSuccessful() || response.code() == NOT_FOUND) {
        return new PlatformResponse(response.code(), body);
      }
      boolean refusedFirst = response.code() == 503 || response.code() == 429;
      throw new TableException("platform answered " + response.code(), !refusedFirst);
    } catch (ConnectException e) {
      throw new TableException("platform not reached: " + e.getMessage(), false);
    } catch (IOException e) {
      throw new TableException("platform gave no answer: " + e.getMessage(), true);
    }
  }
}
