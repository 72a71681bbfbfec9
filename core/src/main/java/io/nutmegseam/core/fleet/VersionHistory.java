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

  /**
   * Longest time between two observations of the servers, or since the last one, in which no
   * version can have come and gone unnoticed.
   */
  public static final long MAX_GAP_MILLIS = 2_500;

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
    boolean continuous =
        untilMillis != Long.MIN_VALUE && asOfMillis - untilMillis <= MAX_GAP_MILLIS;
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
    return new VersionHistory(next, continuous ? sinceMillis : asOfMillis, asOfMillis);
  }

  /**
   * Returns the versions that the servers of a service had within a time up to now.
   *
   * @param service name of the service
   * @param nowMillis present monotonic time
   * @param withinMillis length of that time, in milliseconds
   */
  public Set<String> recentVersions(String service, long nowMillis, long withinMillis) {
    return lastSeenMillisByService.getOrDefault(service, Map.of()).entrySet().stream()
        .filter(seen -> nowMillis - seen.getValue() <= withinMillis)
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Returns whether the servers have been observed all the time, so that no version is missing in
   * {@link #recentVersions}.
   *
   * @param nowMillis present monotonic time
   * @param withinMillis length of the time up to now, in milliseconds
   */
  public boolean covers(long nowMillis, long withinMillis) {
    return untilMillis != Long.MIN_VALUE
        && nowMillis - untilMillis <= MAX_GAP_MILLIS
        && nowMillis - sinceMillis >= withinMillis;
  }
}
