package io.nutmegseam.standin.measure;

import com.fasterxml.jackson.databind.JsonNode;
import io.nutmegseam.standin.http.HttpExchange;
import java.io.IOException;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Operation counts of the platform's table.
 *
 * @param reads number of range reads
 * @param commits number of committed transactions
 */
record TableTotals(long reads, long commits) {
  static TableTotals read(String platformAddress) throws IOException {
    Request request = new Request.Builder().url(platformAddress + "/stats").build();
    try (Response response = new OkHttpClient().newCall(request).execute()) {
      JsonNode stats = HttpExchange.JSON.readTree(response.body().string());
      return new TableTotals(stats.path("reads").asLong(), stats.path("commits").asLong());
    }
  }

  TableTotals minus(TableTotals earlier) {
    return new TableTotals(reads - earlier.reads, commits - earlier.commits);
  }
}
