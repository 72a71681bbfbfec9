package io.nutmegseam.core.orders;

/**
 * The loads that the weight store can serve.
 *
 * @param allowedLoads number of further loads that may start now
 * @param parallelLoads number of parallel loads that run at full speed
 * @param nextFreeMillis monotonic time from which a further load runs at full speed
 */
public record StoreCapacity(int allowedLoads, int parallelLoads, long nextFreeMillis) {
  /** Loads reserved for high-demand models if the store serves more than this at full speed. */
  private static final int RESERVED_HIGH_DEMAND_LOADS = 1;

  /** Returns how many loads of low-demand models may start now. */
  int allowedLowDemandLoads() {
    return parallelLoads > RESERVED_HIGH_DEMAND_LOADS
        ? Math.max(0, allowedLoads - RESERVED_HIGH_DEMAND_LOADS)
        : allowedLoads;
  }
}
