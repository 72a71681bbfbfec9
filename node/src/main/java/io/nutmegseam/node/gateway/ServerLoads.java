package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.routing.OutlierEjection;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What this node knows of each server's load and failures. Confined to the traffic thread. */
final class ServerLoads {
  /** A report loses its weight as the requests that it counted end. */
  private static final double REPORT_HALF_LIFE_MILLIS = 600;

  /** Totals of all nodes are of no use when they are older. */
  private static final long TOTALS_LIFE_MILLIS = 2_000;

  /** What is known of a server is dropped when nothing has been heard of it for this time. */
  private static final long FORGET_MILLIS = 60_000;

  /** Fewer requests that await an answer may be slow for reasons of their own. */
  private static final int MIN_AWAITING = 2;

  private final InstantSource clock;
  private final Map<String, State> stateById = new HashMap<>();
  private long totalsAtMillis = Long.MIN_VALUE / 2;
  private OutlierEjection ejection = OutlierEjection.none();

  private static final class State {
    private final Map<Object, Long> awaitingSinceMillis = new LinkedHashMap<>();
    private int outstanding;
    private int told;
    private int others;
    private int reported;
    private long reportedAtMillis;
    private long fullUntilMillis;
  }

  /**
   * Creates an empty board.
   *
   * @param clock monotonic clock
   */
  ServerLoads(InstantSource clock) {
    this.clock = clock;
  }

  /** Notes a request that goes to a server. */
  void onSent(String server, Object request) {
    State state = state(server);
    state.outstanding++;
    state.awaitingSinceMillis.put(request, clock.millis());
  }

  /** Notes that a server begins to answer a request. */
  void onHead(String server, Object request) {
    state(server).awaitingSinceMillis.remove(request);
  }

  /** Notes the end of a request at a server. */
  void onDone(String server, Object request) {
    State state = state(server);
    state.outstanding = Math.max(0, state.outstanding - 1);
    state.awaitingSinceMillis.remove(request);
  }

  /**
   * Returns how long the oldest request has waited for the beginning of its answer, in
   * milliseconds; 0 if fewer requests wait than show a queue.
   */
  long queueMillis(String server) {
    Map<Object, Long> awaiting = state(server).awaitingSinceMillis;
    return awaiting.size() < MIN_AWAITING
        ? 0
        : clock.millis() - awaiting.values().iterator().next();
  }

  /** Notes the running and queued requests that a server reports. */
  void onReport(String server, int running, int queued) {
    State state = state(server);
    state.reported = running + queued;
    state.reportedAtMillis = clock.millis();
  }

  /** Returns the requests under way at each server that has any, to be told to other nodes. */
  Map<String, Integer> drainOutstanding() {
    Map<String, Integer> outstanding = new HashMap<>();
    stateById.forEach(
        (server, state) -> {
          state.told = state.outstanding;
          if (state.outstanding > 0) {
            outstanding.put(server, state.outstanding);
          }
        });
    return outstanding;
  }

  /** Takes the requests of all nodes that are under way at each server that has any. */
  void onTotals(Map<String, Integer> outstandingByServer) {
    totalsAtMillis = clock.millis();
    stateById.values().removeIf(this::isForgotten);
    stateById.values().forEach(state -> state.others = 0);
    outstandingByServer.forEach(
        (server, total) -> {
          State state = state(server);
          state.others = Math.max(0, total - state.told);
        });
  }

  private boolean isForgotten(State state) {
    long idleMillis = clock.millis() - Math.max(state.reportedAtMillis, state.fullUntilMillis);
    return state.outstanding == 0 && idleMillis > FORGET_MILLIS;
  }

  /** Notes that a server has no room; it is passed over for a time. */
  void onFull(String server, long forMillis) {
    state(server).fullUntilMillis = clock.millis() + forMillis;
  }

  /** Notes a whole answer. */
  void onAnswered(String server) {
    ejection = ejection.withSuccess(server);
  }

  /** Notes a request that failed at a server. */
  void onFailed(String server) {
    ejection = ejection.withFailure(server, clock.millis());
  }

  /** Returns whether a server is passed over because its requests fail or it has no room. */
  boolean isAvoided(String server) {
    long nowMillis = clock.millis();
    return ejection.isEjected(server, nowMillis) || state(server).fullUntilMillis > nowMillis;
  }

  /** Returns the expected share of a server's slots that is taken. */
  double utilisation(ServerEntry entry) {
    State state = state(entry.incarnation().id());
    double ageMillis = clock.millis() - state.reportedAtMillis;
    double reported = state.reported * Math.pow(0.5, ageMillis / REPORT_HALF_LIFE_MILLIS);
    boolean told = clock.millis() - totalsAtMillis < TOTALS_LIFE_MILLIS;
    double load = Math.max(state.outstanding + (told ? state.others : 0), reported);
    return (load + 1) / Math.max(1, entry.slots());
  }

  private State state(String server) {
    return stateById.computeIfAbsent(server, s -> new State());
  }
}
