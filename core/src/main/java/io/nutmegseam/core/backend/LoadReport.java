package io.nutmegseam.core.backend;

import java.util.Map;

/**
 * A backend server's report of the requests that it serves. The report lags behind the server.
 *
 * @param running number of requests that run now
 * @param queued number of requests that wait at the server
 * @param runningByUnit number of running requests, by model or adapter
 * @param startedByUnit number of requests started since the server started, by model or adapter
 */
public record LoadReport(
    int running, int queued, Map<String, Integer> runningByUnit, Map<String, Long> startedByUnit) {
  /** Returns a report without requests. */
  public static LoadReport idle() {
    return new LoadReport(0, 0, Map.of(), Map.of());
  }
}
