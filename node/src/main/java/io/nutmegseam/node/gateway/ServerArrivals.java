package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.fleet.Incarnation;
import java.util.HashMap;
import java.util.Map;

/** Tracks when servers joined the fleet. Confined to the control thread. */
final class ServerArrivals {
  /** Longer than a load from the weight store takes. */
  private static final long RECENT_MILLIS = 20_000;

  private final Map<Incarnation, Long> joinedMillisByServer = new HashMap<>();

  /** Applies the servers of the fleet. */
  void update(Fleet fleet, long nowMillis) {
    joinedMillisByServer.keySet().removeIf(server -> !fleet.isCurrent(server));
    fleet
        .entries()
        .forEach(entry -> joinedMillisByServer.putIfAbsent(entry.incarnation(), nowMillis));
  }

  /** Returns whether a server joined the fleet a short time ago. */
  boolean isRecent(Incarnation server, long nowMillis) {
    return nowMillis - joinedMillisByServer.getOrDefault(server, nowMillis) < RECENT_MILLIS;
  }
}
