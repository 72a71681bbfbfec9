package io.nutmegseam.node.gateway;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.orders.DeferredLoad;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Logs why no server is reserved for requested models of one service: one line when the reason
 * changes, and one at a fixed interval while it lasts. A model gets at most one line per second.
 * Confined to the control thread.
 */
final class DeferredLoadLog {
  private static final long REPEAT_INTERVAL_MILLIS = 5_000;
  private static final long MIN_INTERVAL_MILLIS = 1_000;

  private final InstantSource clock;
  private final EventSink events;
  private final Map<String, Logged> loggedByModel = new HashMap<>();

  private record Logged(DeferredLoad.Reason reason, long atMillis) {}

  /**
   * Creates a log without deferred loads.
   *
   * @param clock monotonic clock
   * @param events the log
   */
  DeferredLoadLog(InstantSource clock, EventSink events) {
    this.clock = clock;
    this.events = events;
  }

  /**
   * Logs the deferred loads of a planning round.
   *
   * @param deferredLoads all deferred loads of the service
   * @param storeLoadsLeft number of loads that the weight store could still serve in this round
   */
  void onRound(List<DeferredLoad> deferredLoads, int storeLoadsLeft) {
    long nowMillis = clock.millis();
    loggedByModel
        .values()
        .removeIf(logged -> nowMillis - logged.atMillis() >= REPEAT_INTERVAL_MILLIS);
    for (DeferredLoad load : deferredLoads) {
      Logged logged = loggedByModel.get(load.model());
      boolean due =
          logged == null
              || (logged.reason() != load.reason()
                  && nowMillis - logged.atMillis() >= MIN_INTERVAL_MILLIS);
      if (due) {
        loggedByModel.put(load.model(), new Logged(load.reason(), nowMillis));
        events.record(EventKind.LOAD_DEFERRED, load.model(), detail(load, storeLoadsLeft));
      }
    }
  }

  private static String detail(DeferredLoad load, int storeLoadsLeft) {
    return "%s, unserved for %d ms, %d requests wait, %d servers have a copy, %d store loads allowed"
        .formatted(
            load.reason(), load.unservedMillis(), load.waiting(), load.copies(), storeLoadsLeft);
  }
}
