package io.nutmegseam.node.control;

import io.nutmegseam.core.coldstart.Demand;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the demand of all nodes for the units of one backend server. A notice of a node expires
 * unless the node sends another one.
 */
final class DemandTracker {
  private static final long NOTICE_EXPIRY_MILLIS = 1_500;

  private final Map<String, Map<String, Notice>> noticesByUnit = new HashMap<>();

  private record Notice(Demand demand, long expiresAtMillis) {}

  /** Records the demand of a node for a unit, in place of the node's last one for this unit. */
  void put(String node, Demand demand, long nowMillis) {
    noticesByUnit
        .computeIfAbsent(demand.unit(), k -> new HashMap<>())
        .put(node, new Notice(demand, nowMillis + NOTICE_EXPIRY_MILLIS));
  }

  /** Returns the unexpired demand of all nodes, merged by unit. */
  Map<String, Demand> merged(long nowMillis) {
    Map<String, Demand> merged = new HashMap<>();
    noticesByUnit
        .values()
        .forEach(notices -> notices.values().removeIf(n -> n.expiresAtMillis() <= nowMillis));
    noticesByUnit.values().removeIf(Map::isEmpty);
    noticesByUnit.forEach(
        (unit, notices) ->
            notices.values().stream()
                .map(Notice::demand)
                .reduce(Demand::merge)
                .ifPresent(demand -> merged.put(unit, demand)));
    return merged;
  }
}
