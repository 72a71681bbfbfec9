package io.nutmegseam.core.orders;

/**
 * What the weight store can take.
 *
 * @param allowedLoads further loads that may begin now
 * @param parallelLoads loads that run side by side at full speed
 */
public record StoreCapacity(int allowedLoads, int parallelLoads) {
  /** Loads kept free for models in high demand, where several run at full speed. */
  private static final int RESERVED = 1;

  /** Returns how many loads of models in low demand may begin now. */
  int allowedLowDemandLoads() {
    return parallelLoads > RESERVED ? Math.max(0, allowedLoads - RESERVED) : allowedLoads;
  }
}
