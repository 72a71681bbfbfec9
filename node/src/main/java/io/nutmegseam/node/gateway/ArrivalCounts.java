package io.nutmegseam.node.gateway;

import java.util.HashMap;
import java.util.Map;

/** Counts the requests of each model since the last report. Confined to the traffic thread. */
final class ArrivalCounts {
  private Map<ModelWaitQueue.Key, Integer> countByModel = new HashMap<>();

  /** Notes one request. */
  void onArrival(ModelWaitQueue.Key key) {
    countByModel.merge(key, 1, Integer::sum);
  }

  /** Returns the counts and starts again at zero. */
  Map<ModelWaitQueue.Key, Integer> drain() {
    Map<ModelWaitQueue.Key, Integer> counts = countByModel;
    countByModel = new HashMap<>();
    return counts;
  }
}
