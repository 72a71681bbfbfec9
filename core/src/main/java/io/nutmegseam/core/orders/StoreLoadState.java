package io.nutmegseam.core.orders;

import java.util.List;

/**
 * What the next process that orders loads needs to know of the weight store.
 *
 * @param loads the loads in flight
 * @param parallelLoads number of parallel loads that were seen to run at full speed
 * @param growthAllowedFromMillis monotonic time from which the estimate may be raised
 */
public record StoreLoadState(
    List<LoadInFlight> loads, int parallelLoads, long growthAllowedFromMillis) {
  /**
   * A load in flight.
   *
   * @param server the server that loads
   * @param model name of the model; empty if the holder was of a build that does not tell
   * @param startMillis monotonic time of its start
   * @param uncontendedMillis its duration without parallel loads
   * @param parallelAtStart number of loads in flight when it started, with itself
   */
  public record LoadInFlight(
      String server, String model, long startMillis, long uncontendedMillis, int parallelAtStart) {}

  /** Copies the loads. */
  public StoreLoadState {
    loads = List.copyOf(loads);
  }
}
