package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Inventory;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the weights on servers that went without draining. A server that crashes keeps its disk,
 * and most are listed again sooner than the weight store could load a model. Confined to one
 * thread.
 */
final class ReturningCopies {
  /** A server that crashed and is not listed again by then has been replaced or is gone. */
  private static final long RETURN_MILLIS = 6_000;

  private final Map<String, Set<String>> copiesByServer = new HashMap<>();
  private final Map<String, Long> untilMillisByModel = new HashMap<>();
  private long nowMillis;

  /** Applies the servers of a planning round. */
  void update(ServiceSnapshot snapshot) {
    nowMillis = snapshot.nowMillis();
    copiesByServer.forEach(
        (server, models) -> {
          if (snapshot.server(server).isEmpty()) {
            models.forEach(model -> untilMillisByModel.put(model, nowMillis + RETURN_MILLIS));
          }
        });
    copiesByServer.clear();
    snapshot.servers().stream()
        .filter(server -> !server.entry().draining())
        .forEach(server -> copiesByServer.put(server.id(), copies(server.entry().inventory())));
    untilMillisByModel.values().removeIf(untilMillis -> nowMillis >= untilMillis);
  }

  private static Set<String> copies(Inventory inventory) {
    Set<String> copies = new HashSet<>(inventory.onDisk());
    copies.addAll(inventory.adaptersByModel().keySet());
    return copies;
  }

  /** Forgets all servers. */
  void clear() {
    copiesByServer.clear();
    untilMillisByModel.clear();
  }

  /** Returns whether a server with the weights of a model may be listed again soon. */
  boolean contains(String model) {
    return untilMillisByModel.containsKey(model);
  }
}
