package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.StreamOrigin;
import io.nutmegseam.core.fleet.VersionHistory;
import java.time.InstantSource;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The origins that streams can have by the routes and the versions of the servers, as far as this
 * node has observed them.
 */
final class PossibleOrigins {
  private static final long MIN_RETENTION_MILLIS = 15_000;

  /** Callers may resume a stream until their own time limit, which can exceed the route's. */
  private static final long RETENTION_PER_TIMEOUT = 2;

  private final InstantSource clock;
  private final GatewayState state;

  /**
   * Creates the component.
   *
   * @param clock monotonic clock
   * @param state where the routes led, and the versions that the servers had
   */
  PossibleOrigins(InstantSource clock, GatewayState state) {
    this.clock = clock;
    this.state = state;
  }

  /** Returns whether streams that are resumed at a service can have had several origins of late. */
  boolean areSeveral(String service) {
    long nowMillis = clock.millis();
    long withinMillis = retentionMillis();
    return state.routes().recentServices(service, nowMillis, withinMillis).stream()
            .mapToInt(name -> state.versions().recentVersions(name, nowMillis, withinMillis).size())
            .sum()
        > 1;
  }

  /**
   * Returns whether streams that are resumed at a service have had one possible origin for as long
   * as a stream may be resumed.
   */
  boolean isSole(String service) {
    long unseenMillis = state.routes().unseenMillis(clock.millis());
    long withinMillis = Math.max(retentionMillis(), unseenMillis);
    return covers(withinMillis) && isCurrent() && used(service, withinMillis).size() == 1;
  }

  /**
   * Returns the origins that streams can have that some node has begun within a time up to now, and
   * that are resumed at a service.
   */
  Set<StreamOrigin> used(String service, long withinMillis) {
    long nowMillis = clock.millis();
    VersionHistory history = state.versions();
    return state.routes().usedServices(service, nowMillis, withinMillis).stream()
        .flatMap(
            name ->
                history.usedVersions(name, nowMillis, withinMillis).stream()
                    .map(version -> new StreamOrigin(name, version)))
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns whether this node has observed the routes and the servers for a time up to now. */
  boolean covers(long withinMillis) {
    long nowMillis = clock.millis();
    return state.versions().covers(nowMillis, withinMillis)
        && state.routes().covers(nowMillis, withinMillis);
  }

  /** Returns whether this node has read the configuration and the servers a moment ago. */
  boolean isCurrent() {
    long nowMillis = clock.millis();
    return state.versions().isCurrent(nowMillis) && state.routes().isCurrent(nowMillis);
  }

  /** Returns the time for which a stream may be resumed after it began, in milliseconds. */
  long retentionMillis() {
    long longestMillis = state.routes().longestStreamMillis(clock.millis());
    return Math.max(MIN_RETENTION_MILLIS, RETENTION_PER_TIMEOUT * longestMillis);
  }
}
