package io.nutmegseam.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The software versions that the servers of each service had of late, as far as this node has
 * observed them. Immutable.
 */
public final class VersionHistory {
  /** A history without observations. */
  public static final VersionHistory EMPTY = new VersionHistory(Map.of(), 0, Long.MIN_VALUE);

  /** Age up to which the list of servers counts as current; the usual time until it is read. */
  public static final long MAX_AGE_MILLIS = 2_500;

  /**
   * Longest time for which a node that does not reach the platform can begin streams at a server
   * after the platform has stopped listing it: the server serves on until it exits.
   */
  private static final long UNLISTED_USE_MILLIS = 60_000;

  /** Time for which a version is remembered after its last server has left. */
  private static final long RETENTION_MILLIS = 600_000;

  private final Map<String, Map<String, Long>> lastSeenMillisByService;
  private final long sinceMillis;
  private final long untilMillis;

  private VersionHistory(
      Map<String, Map<String, Long>> lastSeenMillisByService, long sinceMillis, long untilMillis) {
    this.lastSeenMillisByService = lastSeenMillisByService;
    this.sinceMillis = sinceMillis;
    this.untilMillis = untilMillis;
  }

  /**
   * Returns the history with an observation of the servers.
   *
   * @param fleet the servers
   * @param asOfMillis monotonic time at which the platform listed them
   */
  public VersionHistory observe(Fleet fleet, long asOfMillis) {
    if (asOfMillis <= untilMillis) {
      return this;
    }
    Map<String, Map<String, Long>> next = new HashMap<>();
    lastSeenMillisByService.forEach(
        (service, seenByVersion) ->
            seenByVersion.forEach(
                (version, seenMillis) -> {
                  if (asOfMillis - seenMillis <= RETENTION_MILLIS) {
                    next.computeIfAbsent(service, s -> new HashMap<>()).put(version, seenMillis);
                  }
                }));
    fleet
        .versionsByService()
        .forEach(
            (service, versions) ->
                versions.forEach(
                    version ->
                        next.computeIfAbsent(service, s -> new HashMap<>())
                            .put(version, asOfMillis)));
    return new VersionHistory(next, isEmpty() ? asOfMillis : sinceMillis, asOfMillis);
  }

  /**
   * Returns the versions that the servers of a service had within a time up to now, or at the last
   * observation if that is earlier.
   *
   * @param service name of the service
   * @param nowMillis present monotonic time
   * @param withinMillis length of that time, in milliseconds
   */
  public Set<String> recentVersions(String service, long nowMillis, long withinMillis) {
    long afterMillis = Math.min(nowMillis - withinMillis, untilMillis);
    return lastSeenMillisByService.getOrDefault(service, Map.of()).entrySet().stream()
        .filter(seen -> seen.getValue() >= afterMillis)
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Returns the versions at which some node may have begun a stream within a time up to now. Other
   * nodes may use servers for longer than this one sees them.
   *
   * @param service name of the service
   * @param nowMillis present monotonic time
   * @param withinMillis length of that time, in milliseconds
   */
  public Set<String> usedVersions(String service, long nowMillis, long withinMillis) {
    return recentVersions(service, nowMillis, withinMillis + UNLISTED_USE_MILLIS);
  }

  /**
   * Returns whether the servers have been observed since a time, and no version that they had since
   * then is forgotten.
   *
   * @param nowMillis present monotonic time
   * @param withinMillis length of the time up to now, in milliseconds
   */
  public boolean covers(long nowMillis, long withinMillis) {
    return !isEmpty()
        && withinMillis + UNLISTED_USE_MILLIS <= RETENTION_MILLIS
        && nowMillis - sinceMillis >= withinMillis;
  }

  /** Returns whether the servers were observed a moment ago. */
  public boolean isCurrent(long nowMillis) {
    return !isEmpty() && nowMillis - untilMillis <= MAX_AGE_MILLIS;
  }

  private boolean isEmpty() {
    return untilMillis == Long.MIN_VALUE;
  }
}
