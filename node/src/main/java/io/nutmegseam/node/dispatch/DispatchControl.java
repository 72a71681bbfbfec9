package io.nutmegseam.node.dispatch;

import io.nutmegseam.core.dispatch.DispatchOrder;
import io.nutmegseam.core.dispatch.TenantShares;
import io.nutmegseam.core.dispatch.WaitingRequest;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.routing.TokenCount;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.function.Function;

/**
 * Decides in which order the requests of this node are dispatched, and which priority servers are
 * told. Confined to the traffic thread, except for {@link #waitingByPriority()}.
 */
public final class DispatchControl {
  private static final int PRIORITIES = 10;

  /** Each kind of event is logged at most once within this time. */
  private static final long LOG_INTERVAL_MILLIS = 1_000;

  private final InstantSource clock;
  private final EventSink events;
  private final TenantShares shares = new TenantShares();
  private final ServicePriorities priorities = new ServicePriorities();
  private final AtomicIntegerArray waiting = new AtomicIntegerArray(PRIORITIES);
  private long orderLoggedMillis = Long.MIN_VALUE / 2;
  private long awaitedLoggedMillis = Long.MIN_VALUE / 2;

  /**
   * Creates a control without requests.
   *
   * @param clock monotonic clock
   * @param events receives the decisions
   */
  public DispatchControl(InstantSource clock, EventSink events) {
    this.clock = clock;
    this.events = events;
  }

  /** Returns waiting items in the order in which they are dispatched. */
  public <T> List<T> ordered(Collection<T> items, Function<T, WaitingRequest> request) {
    long nowMillis = clock.millis();
    List<T> ordered = DispatchOrder.sorted(items, request, shares, nowMillis);
    if (ordered.size() > 1 && nowMillis - orderLoggedMillis >= LOG_INTERVAL_MILLIS) {
      orderLoggedMillis = nowMillis;
      events.record(
          EventKind.WAITING_ORDERED,
          ordered.size() + " requests",
          "first %s, last %s"
              .formatted(
                  text(request.apply(ordered.get(0)), nowMillis),
                  text(request.apply(ordered.get(ordered.size() - 1)), nowMillis)));
    }
    return ordered;
  }

  /** Returns the priority that a server of a service is told for a request that it gets now. */
  public int serverPriority(GatewayConfig config, String service, WaitingRequest request) {
    return priorities.of(config, service).valueOf(request, clock.millis());
  }

  /** Counts a request that is sent to a server, by its tokens or as one, for its tenant. */
  public void onSent(WaitingRequest request, Optional<TokenCount> tokens) {
    double cost = tokens.map(TokenCount::total).orElse(1L);
    shares.onSent(request.tenant(), cost, clock.millis());
  }

  /** Records that a request has begun to wait. */
  public void onWaiting(WaitingRequest request) {
    waiting.incrementAndGet(index(request));
  }

  /** Records that a request waits no longer. */
  public void onLeft(WaitingRequest request) {
    waiting.decrementAndGet(index(request));
  }

  /** Records that a request waits for capacity of servers that refused it. */
  public void onCapacityAwaited(WaitingRequest request, String description, long pauseMillis) {
    long nowMillis = clock.millis();
    if (nowMillis - awaitedLoggedMillis >= LOG_INTERVAL_MILLIS) {
      awaitedLoggedMillis = nowMillis;
      events.record(
          EventKind.CAPACITY_AWAITED,
          description,
          "for %d ms, %s".formatted(pauseMillis, text(request, nowMillis)));
    }
  }

  /** Returns the number of waiting requests by priority. Thread-safe. */
  public Map<String, Double> waitingByPriority() {
    Map<String, Double> counts = new TreeMap<>();
    for (int priority = 0; priority < PRIORITIES; priority++) {
      counts.put(String.valueOf(priority), (double) waiting.get(priority));
    }
    return counts;
  }

  private String text(WaitingRequest request, long nowMillis) {
    return "priority %d, waited %d ms, %d ms to the latest start, above share: %b"
        .formatted(
            request.priority(),
            nowMillis - request.arrivedMillis(),
            request.latestStartMillis() - nowMillis,
            shares.isAboveShare(request.tenant(), nowMillis));
  }

  private static int index(WaitingRequest request) {
    return Math.max(0, Math.min(PRIORITIES - 1, request.priority()));
  }
}
