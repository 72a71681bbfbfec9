package io.nutmegseam.core.orders;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks whether servers are joining the service. While they are, a model without copy may be on a
 * server that joins next. Confined to one thread.
 */
final class JoiningServers {
  /** Servers that start together join within this time of one another. */
  private static final long MAX_GAP_MILLIS = 1_000;

  /** The servers of the last round; empty before the first one, which shows no arrivals. */
  private Optional<Set<String>> serverIds = Optional.empty();

  private long lastJoinedMillis = Long.MIN_VALUE / 2;
  private long nowMillis;

  /** Applies the servers of a planning round. */
  void update(ServiceSnapshot snapshot) {
    nowMillis = snapshot.nowMillis();
    Set<String> ids = new HashSet<>();
    snapshot.servers().forEach(server -> ids.add(server.id()));
    if (serverIds.isPresent() && !serverIds.get().containsAll(ids)) {
      lastJoinedMillis = nowMillis;
    }
    serverIds = Optional.of(ids);
  }

  /** Returns whether a server has joined a short time ago. */
  boolean isAnyJoining() {
    return nowMillis - lastJoinedMillis < MAX_GAP_MILLIS;
  }
}
