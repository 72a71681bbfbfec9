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

  /** Fewer requests that await an answer may be slow for reasons of their own. */
  private static final int MIN_AWAITING = 2;

  private final InstantSource clock;
  private final Map<String, State> stateById = new HashMap<>();
  private OutlierEjection ejection = OutlierEjection.none();

  private static final class State {
    private final Map<Object, Long> awaitingSinceMillis = new LinkedHashMap<>();
    private int outstanding;
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

  /** Notes that a server has no room; it is passed over for a time. */
  void onFull(String server, long forMillis) {
    state(server).fullUntilMillis = clock.millis() + forMillis;
  }

  /** Notes a whole answer. */
  void onAnswered(String server) {
    ejection = ejection.succeeded(server);
  }

  /** Notes a request that failed at a server. */
  void onFailed(String server) {
    ejection = ejection.failed(server, clock.millis());
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
    double load = Math.max(state.outstanding, reported);
    return (load + 1) / Math.max(1, entry.slots());
  }

  private State state(String server) {
    return stateById.computeIfAbsent(server, s -> new State());
  }
}
