package io.nutmegseam.node.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.nutmegseam.core.platform.CommitResult;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.TableService;
import io.nutmegseam.core.platform.Transaction;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import okhttp3.OkHttpClient;

/** Accesses the platform's table service over HTTP. */
public final class HttpTableService implements TableService {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final TypeReference<List<Row>> ROWS = new TypeReference<>() {};

  private final PlatformHttpClient http;

  /**
   * Creates the client.
   *
   * @param client HTTP client with the platform's timeouts; must not retry requests on its own
   * @param baseAddress base URL of the platform's services
   */
  public HttpTableService(OkHttpClient client, String baseAddress) {
    this.http = new PlatformHttpClient(client, baseAddress);
  }

  @Override
  public CommitResult commit(Transaction transaction) throws PlatformException {
    try {
      PlatformHttpClient.PlatformResponse response =
          http.post("/table/commit", JSON.writeValueAsString(transaction));
      return JSON.readValue(response.body(), CommitResult.class);
    } catch (JsonProcessingException e) {
      throw new PlatformException("platform's response cannot be decoded: " + e.getMessage(), true);
    }
  }

  @Override
  public List<Row> range(String prefix, long sinceVersion, int limit) throws PlatformException {
    String query =
        "/table/range?prefix=%s&since=%d&limit=%d"
            .formatted(URLEncoder.encode(prefix, StandardCharsets.UTF_8), sinceVersion, limit);
    try {
      return JSON.readValue(http.get(query).body(), ROWS);
    } catch (JsonProcessingException e) {
      throw new PlatformException(
          "platform's response cannot be decoded: " + e.getMessage(), false);
    }
  }
}
