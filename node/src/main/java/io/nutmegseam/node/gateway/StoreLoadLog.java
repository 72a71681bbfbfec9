package io.nutmegseam.node.gateway;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.orders.ModelOrder;
import io.nutmegseam.core.orders.OrderTracker;
import io.nutmegseam.core.orders.StoreCapacity;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;

/**
 * Logs lost loads, and the loads from the weight store as this node counts them: one line when a
 * figure changes, at most one per second for a service. Confined to the control thread.
 */
final class StoreLoadLog {
  private static final long MIN_INTERVAL_MILLIS = 1_000;

  private final InstantSource clock;
  private final EventSink events;
  private final Map<String, Logged> loggedByService = new HashMap<>();

  private record Counts(int runningLoads, int unknownLoads, int parallelLoads) {}

  private record Logged(Counts counts, long atMillis) {}

  /**
   * Creates a log without lines.
   *
   * @param clock monotonic clock
   * @param events the log
   */
  StoreLoadLog(InstantSource clock, EventSink events) {
    this.clock = clock;
    this.events = events;
  }

  /**
   * Logs the store loads of a planning round.
   *
   * @param service name of the service
   * @param runningLoads number of loads that may be in flight
   * @param unknownLoads how many of them this node has not ordered
   * @param capacity the loads that the weight store can serve
   */
  void onRound(String service, int runningLoads, int unknownLoads, StoreCapacity capacity) {
    long nowMillis = clock.millis();
    Counts counts = new Counts(runningLoads, unknownLoads, capacity.parallelLoads());
    Logged logged = loggedByService.get(service);
    boolean due =
        logged == null
            || (!logged.counts().equals(counts)
                && nowMillis - logged.atMillis() >= MIN_INTERVAL_MILLIS);
    if (due) {
      loggedByService.put(service, new Logged(counts, nowMillis));
      events.record(
          EventKind.STORE_LOADS_COUNTED,
          service,
          "%d may be in flight, %d of them not ordered here, %d at full speed, %d more allowed"
              .formatted(
                  runningLoads, unknownLoads, capacity.parallelLoads(), capacity.allowedLoads()));
    }
  }

  /**
   * Logs the unconfirmed load of a server, if any, that this node ceases to track.
   *
   * @param server the server
   * @param tracker its orders
   * @param reason why the node ceases to track it
   */
  void onForgotten(Incarnation server, OrderTracker tracker, String reason) {
    tracker
        .pending()
        .filter(order -> order.operation() == ModelOrder.Operation.LOAD)
        .ifPresent(order -> recordLost(order, server, tracker.pendingSentMillis(), reason));
  }

  private void recordLost(ModelOrder order, Incarnation server, long sentMillis, String reason) {
    events.record(
        EventKind.LOAD_LOST,
        order.ref().toString(),
        "server %s, source %s, %d ms after it was sent: %s"
            .formatted(server, order.source(), clock.millis() - sentMillis, reason));
  }
}
