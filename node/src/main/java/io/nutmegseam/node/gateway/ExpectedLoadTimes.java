package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ModelRef;
import java.util.Map;

/**
 * When models that are not loaded are expected to be, as the node that orders loads says.
 *
 * @param readyAtMillisByModel monotonic time at which a model is expected to be loaded
 */
record ExpectedLoadTimes(Map<ModelRef, Long> readyAtMillisByModel) {
  static final ExpectedLoadTimes NONE = new ExpectedLoadTimes(Map.of());
}
