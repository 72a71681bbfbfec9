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
 * Decides what the holder of the order lease tells the other nodes: what has changed, and all of it
 * from time to time. Confined to the control thread.
 */
final class FleetUpdateBuilder {
  /** All news are sent again after this time, well within the time for which nodes keep them. */
  private static final long WHOLE_MILLIS = 1_500;

  /** The load of servers is told this often. */
  private static final long USES_MILLIS = 500;

  private final InstantSource clock;
  private Map<Incarnation, Inventory> sent = new HashMap<>();
  private Map<ModelRef, Long> sentExpectations = Map.of();
  private long wholeMillis = Long.MIN_VALUE / 2;
  private long usesMillis = Long.MIN_VALUE / 2;

  /**
   * What the holder of the lease knows.
   *
   * @param inventoryByServer what servers hold
   * @param readyAtMillisByModel when models are expected
   * @param outstandingByServer requests under way at each server that has any
   * @param nodeCount nodes that share fleet-wide limits
   */
  record FleetSnapshot(
      Map<Incarnation, Inventory> inventoryByServer,
      Map<ModelRef, Long> readyAtMillisByModel,
      Map<String, Integer> outstandingByServer,
      int nodeCount) {}

  /**
   * Creates a sender that has sent nothing.
   *
   * @param clock monotonic clock
   */
  FleetUpdateBuilder(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns the news to send now, or empty if nothing is new. */
  Optional<FleetNews> nextUpdate(FleetSnapshot known) {
    long nowMillis = clock.millis();
    boolean whole = nowMillis - wholeMillis >= WHOLE_MILLIS;
    boolean withUses = nowMillis - usesMillis >= USES_MILLIS;
    Map<Incarnation, Inventory> changed = new HashMap<>(known.inventoryByServer());
    if (!whole) {
      changed.entrySet().removeIf(entry -> isSent(entry.getKey(), entry.getValue()));
    }
    boolean expectationsChanged =
        !known.readyAtMillisByModel().keySet().equals(sentExpectations.keySet());
    if (!whole && !withUses && changed.isEmpty() && !expectationsChanged) {
      return Optional.empty();
    }
    wholeMillis = whole ? nowMillis : wholeMillis;
    usesMillis = withUses ? nowMillis : usesMillis;
    sent = new HashMap<>(known.inventoryByServer());
    sentExpectations = Map.copyOf(known.readyAtMillisByModel());
    FleetNews.Builder message =
        FleetCodec.encode(changed, known.readyAtMillisByModel(), known.nodeCount(), nowMillis)
            .toBuilder();
    if (withUses) {
      message.addAllUses(FleetCodec.encodeOutstanding(known.outstandingByServer()));
    }
    return Optional.of(message.build());
  }

  private boolean isSent(Incarnation server, Inventory now) {
    Inventory before = sent.get(server);
    return before != null
        && before.busy() == now.busy()
        && before.adaptersByModel().equals(now.adaptersByModel());
  }
}
