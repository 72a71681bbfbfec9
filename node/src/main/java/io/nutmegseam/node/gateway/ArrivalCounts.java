package io.nutmegseam.node.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the requests for each model since the last demand report. Confined to the traffic thread.
 */
final class ArrivalCounts {
  private Map<ModelWaitQueue.Key, Integer> countByModel = new HashMap<>();

  /** Counts one request for a model. */
  void onArrival(ModelWaitQueue.Key key) {
    countByModel.merge(key, 1, Integer::sum);
  }

  /** Returns the counts since the last call and resets them to zero. */
  Map<ModelWaitQueue.Key, Integer> drain() {
    Map<ModelWaitQueue.Key, Integer> counts = countByModel;
    countByModel = new HashMap<>();
    return counts;
  }
}
