package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.routing.OutlierEjection;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/** Tracks the load and the failures of each server. Confined to the traffic thread. */
final class ServerLoads {
  /** Half-life of a reported load, since the requests that it counted complete over time. */
  private static final double REPORT_HALF_LIFE_MILLIS = 600;

  /** Older totals of all nodes are ignored. */
  private static final long MAX_TOTALS_AGE_MILLIS = 2_000;

  /** State of a server without requests in flight is removed after this time without a report. */
  private static final long STATE_RETENTION_MILLIS = 60_000;

  /** A process that has ended is avoided for this time, until its entry lapses. */
  private static final long REFUSED_PAUSE_MILLIS = 3_000;

  /** Fewer requests without a response are no sign of a queue; they may be slow themselves. */
  private static final int MIN_AWAITING = 2;

  private final InstantSource clock;
  private final Map<String, State> stateById = new HashMap<>();
  private final AdapterRunTable adapterRuns;
  private long totalsAtMillis = Long.MIN_VALUE / 2;
  private OutlierEjection ejection = OutlierEjection.none();

  private static final class State {
    private final Map<Object, Long> awaitingSinceMillis = new LinkedHashMap<>();
    private int outstanding;
    private int publishedOutstanding;
    private int otherNodesOutstanding;
    private int reportedLoad;
    private long reportedAtMillis;
    private long fullUntilMillis;
  }

  /**
   * Creates a tracker without servers.
   *
   * @param clock monotonic clock
   */
  ServerLoads(InstantSource clock) {
    this.clock = clock;
    this.adapterRuns = new AdapterRunTable(clock);
  }

  /** Returns the requests for adapters in flight. */
  AdapterRunTable adapterRuns() {
    return adapterRuns;
  }

  /** Records a request that is sent to a server. */
  void onSent(String server, Object request) {
    State state = state(server);
    state.outstanding++;
    state.awaitingSinceMillis.put(request, clock.millis());
  }

  /** Returns the number of this node's requests at a server. */
  int outstanding(String server) {
    State state = stateById.get(server);
    return state == null ? 0 : state.outstanding;
  }

  /** Records that a server has begun its response to a request. */
  void onResponseHead(String server, Object request) {
    state(server).awaitingSinceMillis.remove(request);
  }

  /** Records the end of a request at a server. */
  void onDone(String server, Object request) {
    State state = state(server);
    state.outstanding = Math.max(0, state.outstanding - 1);
    state.awaitingSinceMillis.remove(request);
  }

  /**
   * Returns how long the oldest request at a server has waited for the head of its response, in
   * milliseconds; 0 if fewer than {@link #MIN_AWAITING} requests wait.
   */
  long queueMillis(String server) {
    Map<Object, Long> awaiting = state(server).awaitingSinceMillis;
    return awaiting.size() < MIN_AWAITING
        ? 0
        : clock.millis() - awaiting.values().iterator().next();
  }

  /**
   * Returns how long the oldest of certain requests at a server has waited for the head of its
   * response, in milliseconds; 0 if fewer than {@link #MIN_AWAITING} of them wait.
   *
   * @param server id of the server
   * @param counts whether a request, as passed to {@link #onSent}, is one of them
   */
  long queueMillis(String server, Predicate<Object> counts) {
    Map<Object, Long> awaiting = state(server).awaitingSinceMillis;
    long oldestMillis = Long.MAX_VALUE;
    int found = 0;
    for (Map.Entry<Object, Long> request : awaiting.entrySet()) {
      if (counts.test(request.getKey())) {
        oldestMillis = Math.min(oldestMillis, request.getValue());
        found++;
      }
      if (found >= MIN_AWAITING) {
        return clock.millis() - oldestMillis;
      }
    }
    return 0;
  }

  /** Records the numbers of running and queued requests that a server reports. */
  void onReport(String server, int running, int queued) {
    State state = state(server);
    state.reportedLoad = running + queued;
    state.reportedAtMillis = clock.millis();
  }

  /**
   * Returns this node's requests in flight at each server that has any, to be sent to other nodes.
   * They are subtracted from the next totals.
   */
  Map<String, Integer> snapshotOutstanding() {
    Map<String, Integer> outstanding = new HashMap<>();
    stateById.forEach(
        (server, state) -> {
          state.publishedOutstanding = state.outstanding;
          if (state.outstanding > 0) {
            outstanding.put(server, state.outstanding);
          }
        });
    return outstanding;
  }

  /** Applies the total of the requests in flight of all nodes, for each server that has any. */
  void onTotals(Map<String, Integer> outstandingByServer) {
    totalsAtMillis = clock.millis();
    stateById.values().removeIf(this::isExpired);
    stateById.values().forEach(state -> state.otherNodesOutstanding = 0);
    outstandingByServer.forEach(
        (server, total) -> {
          State state = state(server);
          state.otherNodesOutstanding = Math.max(0, total - state.publishedOutstanding);
        });
  }

  private boolean isExpired(State state) {
    long idleMillis = clock.millis() - Math.max(state.reportedAtMillis, state.fullUntilMillis);
    return state.outstanding == 0 && idleMillis > STATE_RETENTION_MILLIS;
  }

  /** Records that a server has no capacity; it is avoided for the given time in milliseconds. */
  void onFull(String server, long pauseMillis) {
    State state = state(server);
    state.fullUntilMillis = Math.max(state.fullUntilMillis, clock.millis() + pauseMillis);
  }

  /** Records that nothing listens at the address of a server, whose process has ended. */
  void onRefused(String server) {
    onFull(server, REFUSED_PAUSE_MILLIS);
  }

  /** Records a complete response of a server. */
  void onSucceeded(String server) {
    ejection = ejection.withSuccess(server);
  }

  /** Records a request that failed at a server. */
  void onFailed(String server) {
    ejection = ejection.withFailure(server, clock.millis());
  }

  /** Returns whether a server is avoided because its requests fail or it has no capacity. */
  boolean isAvoided(String server) {
    long nowMillis = clock.millis();
    return ejection.isEjected(server, nowMillis) || state(server).fullUntilMillis > nowMillis;
  }

  /** Returns the expected share of a server's slots in use, including one further request. */
  double utilisation(ServerEntry entry) {
    State state = state(entry.incarnation().id());
    double ageMillis = clock.millis() - state.reportedAtMillis;
    double reportedLoad = state.reportedLoad * Math.pow(0.5, ageMillis / REPORT_HALF_LIFE_MILLIS);
    boolean totalsCurrent = clock.millis() - totalsAtMillis < MAX_TOTALS_AGE_MILLIS;
    double load =
        Math.max(
            state.outstanding + (totalsCurrent ? state.otherNodesOutstanding : 0), reportedLoad);
    return (load + 1) / Math.max(1, entry.slots());
  }

  private State state(String server) {
    return stateById.computeIfAbsent(server, s -> new State());
  }
}
