package io.nutmegseam.core.backend;

import java.util.Map;

/**
 * A backend server's report of its load. It lags.
 *
 * @param running requests that run now
 * @param queued requests that wait at the server
 * @param runningByUnit running requests by model or adapter
 * @param startedByUnit requests started since the server started, by model or adapter
 */
public record LoadReport(
    int running, int queued, Map<String, Integer> runningByUnit, Map<String, Long> startedByUnit) {
  /** Returns a report of no load. */
  public static LoadReport idle() {
    return new LoadReport(0, 0, Map.of(), Map.of());
  }
}
