package io.nutmegseam.node.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.backend.BackendException.Outcome;
import io.nutmegseam.core.backend.Engine;
import io.nutmegseam.core.backend.Inventory;
import io.nutmegseam.core.backend.LoadReport;
import io.nutmegseam.core.backend.Order;
import java.io.IOException;
import java.net.ConnectException;
import java.util.Map;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Controls a model engine over HTTP. */
public final class HttpEngine implements Engine {
  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final ObjectMapper JSON =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  private static final int FENCED_STATUS = 409;
  private static final int REFUSED_STATUS = 503;

  private final OkHttpClient client;
  private final String baseAddress;

  /**
   * Creates the client of an engine.
   *
   * @param client HTTP client with the timeouts of orders; must not retry by itself
   * @param baseAddress base address of the engine
   */
  public HttpEngine(OkHttpClient client, String baseAddress) {
    this.client = client;
    this.baseAddress = baseAddress;
  }

  @Override
  public Inventory inventory() throws BackendException {
    return decode(call("/control/inventory", null), Inventory.class);
  }

  @Override
  public void claim(long epoch) throws BackendException {
    call("/control/claim", Map.of("epoch", epoch));
  }

  @Override
  public void load(Order order) throws BackendException {
    call("/control/load", order);
  }

  @Override
  public void unload(Order order) throws BackendException {
    call("/control/unload", order);
  }

  @Override
  public LoadReport loadReport() throws BackendException {
    return decode(call("/control/load-report", null), LoadReport.class);
  }

  private String call(String path, Object body) throws BackendException {
    Request.Builder request = new Request.Builder().url(baseAddress + path);
    if (body != null) {
      request.post(RequestBody.create(encode(body), JSON_TYPE));
    }
    try (Response response = client.newCall(request.build()).execute()) {
      String text = response.body().string();
      if (response.isSuccessful()) {
        return text;
      }
      throw new BackendException(
          outcome(response.code()), path + " responded with status " + response.code());
    } catch (ConnectException e) {
      throw new BackendException(Outcome.NOT_SENT, path + ": cannot connect: " + e.getMessage());
    } catch (IOException e) {
      throw new BackendException(
          Outcome.UNKNOWN, path + ": no complete response: " + e.getMessage());
    }
  }

  private static Outcome outcome(int status) {
    if (status == FENCED_STATUS) {
      return Outcome.FENCED;
    }
    return status == REFUSED_STATUS ? Outcome.REFUSED : Outcome.UNKNOWN;
  }

  private static String encode(Object body) {
    try {
      return JSON.writeValueAsString(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("request body cannot be encoded: " + body, e);
    }
  }

  private static <T> T decode(String text, Class<T> type) throws BackendException {
    try {
      return JSON.readValue(text, type);
    } catch (JsonProcessingException e) {
      throw new BackendException(Outcome.UNKNOWN, "response cannot be decoded: " + e.getMessage());
    }
  }
}
