package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ModelRef;
import java.util.Map;

/**
 * Expected load times of models that requests wait for, as computed by the order lease holder.
 *
 * @param readyAtMillisByModel monotonic time at which each model is expected to be loaded
 */
record ExpectedLoadTimes(Map<ModelRef, Long> readyAtMillisByModel) {
  static final ExpectedLoadTimes NONE = new ExpectedLoadTimes(Map.of());
}
