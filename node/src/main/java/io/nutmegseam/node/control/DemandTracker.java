package io.nutmegseam.node.control;

import io.nutmegseam.core.coldstart.Demand;
import java.util.HashMap;
import java.util.Map;

/** The demand that all nodes have for the units of one backend server. A notice expires. */
final class DemandTracker {
  private static final long NOTICE_MILLIS = 1_500;

  private final Map<String, Map<String, Notice>> noticesByUnit = new HashMap<>();

  private record Notice(Demand demand, long expiresAtMillis) {}

  void put(String node, Demand demand, long nowMillis) {
    noticesByUnit
        .computeIfAbsent(demand.unit(), k -> new HashMap<>())
        .put(node, new Notice(demand, nowMillis + NOTICE_MILLIS));
  }

  /** Returns the demand over all nodes, by unit. */
  Map<String, Demand> merged(long nowMillis) {
    Map<String, Demand> merged = new HashMap<>();
    noticesByUnit.values().forEach(n -> n.values().removeIf(x -> x.expiresAtMillis() <= nowMillis));
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
