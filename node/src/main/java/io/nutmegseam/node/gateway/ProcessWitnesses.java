package io.nutmegseam.node.gateway;

import io.nutmegseam.node.connection.HeldConnection;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Connections that were open to a server's process at one time. One that is still open later shows
 * that the process has not ended between.
 *
 * @param held connections without a request
 * @param pausesByResponse responses in progress, with the number of times that reading from them
 *     had been paused
 */
record ProcessWitnesses(List<HeldConnection> held, Map<ResponseReading, Integer> pausesByResponse) {
  /** No connections. */
  static final ProcessWitnesses NONE = new ProcessWitnesses(List.of(), Map.of());

  /** Returns those of some connections and responses that are open now. */
  static ProcessWitnesses openOf(
      Collection<HeldConnection> held, Collection<ResponseReading> responses) {
    Map<ResponseReading, Integer> pausesByResponse = new HashMap<>();
    responses.stream()
        .filter(ResponseReading::isActive)
        .forEach(response -> pausesByResponse.put(response, response.pauses()));
    return new ProcessWitnesses(
        held.stream().filter(HeldConnection::isOpen).toList(), pausesByResponse);
  }

  /** Returns whether there are none. */
  boolean isEmpty() {
    return held.isEmpty() && pausesByResponse.isEmpty();
  }

  /**
   * Returns whether one of them is still open.
   *
   * @param late whether the traffic thread is late, so that it may not have read the end of a
   *     response yet, for the bytes before it
   */
  boolean isAnyOpen(boolean late) {
    return held.stream().anyMatch(HeldConnection::isOpen) || (!late && isAnyResponseOpen());
  }

  private boolean isAnyResponseOpen() {
    return pausesByResponse.entrySet().stream()
        .anyMatch(
            entry -> entry.getKey().isActive() && entry.getKey().pauses() == entry.getValue());
  }
}
