package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.node.peer.generated.FleetNews;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Builds the updates that the order lease holder sends to the other nodes: deltas, and a full
 * update at a fixed interval. Confined to the control thread.
 */
final class FleetUpdateBuilder {
  /** Interval of full updates, well below the time for which receivers keep an inventory. */
  private static final long FULL_UPDATE_INTERVAL_MILLIS = 1_500;

  /** Interval of updates that include the requests in flight at each server. */
  private static final long SERVER_LOAD_INTERVAL_MILLIS = 500;

  private final InstantSource clock;
  private Map<Incarnation, Inventory> sentInventories = new HashMap<>();
  private Map<ModelRef, Long> sentReadyAtMillis = Map.of();
  private long lastFullMillis = Long.MIN_VALUE / 2;
  private long lastServerLoadMillis = Long.MIN_VALUE / 2;

  /**
   * State of the fleet as observed by the lease holder.
   *
   * @param inventoryByServer inventory of each server
   * @param readyAtMillisByModel monotonic time at which each model is expected to be loaded
   * @param outstandingByServer requests in flight at each server that has any, over all nodes
   * @param nodeCount number of nodes that report to the holder; earlier versions share fleet-wide
   *     limits among them
   */
  record FleetSnapshot(
      Map<Incarnation, Inventory> inventoryByServer,
      Map<ModelRef, Long> readyAtMillisByModel,
      Map<String, Integer> outstandingByServer,
      int nodeCount) {}

  /**
   * Creates a builder; its first update is a full one.
   *
   * @param clock monotonic clock
   */
  FleetUpdateBuilder(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns the update to send now, or empty if nothing has changed and no interval has passed. */
  Optional<FleetNews> nextUpdate(FleetSnapshot snapshot) {
    long nowMillis = clock.millis();
    boolean full = nowMillis - lastFullMillis >= FULL_UPDATE_INTERVAL_MILLIS;
    boolean withServerLoads = nowMillis - lastServerLoadMillis >= SERVER_LOAD_INTERVAL_MILLIS;
    Map<Incarnation, Inventory> changed = new HashMap<>(snapshot.inventoryByServer());
    if (!full) {
      changed.entrySet().removeIf(entry -> isUnchanged(entry.getKey(), entry.getValue()));
    }
    boolean expectedModelsChanged =
        !snapshot.readyAtMillisByModel().keySet().equals(sentReadyAtMillis.keySet());
    if (!full && !withServerLoads && changed.isEmpty() && !expectedModelsChanged) {
      return Optional.empty();
    }
    lastFullMillis = full ? nowMillis : lastFullMillis;
    lastServerLoadMillis = withServerLoads ? nowMillis : lastServerLoadMillis;
    sentInventories = new HashMap<>(snapshot.inventoryByServer());
    sentReadyAtMillis = Map.copyOf(snapshot.readyAtMillisByModel());
    FleetNews.Builder message =
        FleetCodec.encode(changed, snapshot.readyAtMillisByModel(), snapshot.nodeCount(), nowMillis)
            .toBuilder();
    if (withServerLoads) {
      message.addAllUses(FleetCodec.encodeOutstanding(snapshot.outstandingByServer()));
    }
    return Optional.of(message.build());
  }

  private boolean isUnchanged(Incarnation server, Inventory current) {
    Inventory before = sentInventories.get(server);
    return before != null
        && before.busy() == current.busy()
        && before.adaptersByModel().equals(current.adaptersByModel());
  }
}
