package io.nutmegseam.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Temporarily excludes servers after consecutive failed calls, unless that would exclude more than
 * a maximum share of the candidates. Immutable.
 */
public final class OutlierEjection {
  private static final int FAILURES_TO_EJECT = 3;
  private static final long EJECTION_MILLIS = 5_000;
  private static final double MAX_EJECTED_SHARE = 0.5;

  private final Map<String, Health> healthByServer;

  private record Health(int failures, long ejectedUntilMillis) {}

  private OutlierEjection(Map<String, Health> healthByServer) {
    this.healthByServer = healthByServer;
  }

  /** Returns an instance without failures. */
  public static OutlierEjection none() {
    return new OutlierEjection(Map.of());
  }

  /** Returns the state after a successful call to a server, which resets its failures. */
  public OutlierEjection withSuccess(String server) {
    if (!healthByServer.containsKey(server)) {
      return this;
    }
    Map<String, Health> next = new HashMap<>(healthByServer);
    next.remove(server);
    return new OutlierEjection(next);
  }

  /** Returns the state after a failed call to a server, at a monotonic time. */
  public OutlierEjection withFailure(String server, long nowMillis) {
    Health before = healthByServer.getOrDefault(server, new Health(0, 0));
    int failures = before.failures() + 1;
    long until = failures >= FAILURES_TO_EJECT ? nowMillis + EJECTION_MILLIS : 0;
    Map<String, Health> next = new HashMap<>(healthByServer);
    next.put(server, new Health(failures, until));
    return new OutlierEjection(next);
  }

  /** Returns whether a server is ejected at a monotonic time. */
  public boolean isEjected(String server, long nowMillis) {
    Health health = healthByServer.get(server);
    return health != null && health.ejectedUntilMillis() > nowMillis;
  }

  /**
   * Returns the candidates that are not ejected, or all candidates if more than the maximum share
   * is ejected.
   *
   * @param candidates the candidates
   * @param nowMillis monotonic time, in milliseconds
   */
  public List<Candidate> filter(List<Candidate> candidates, long nowMillis) {
    List<Candidate> kept = new ArrayList<>();
    for (Candidate candidate : candidates) {
      if (!isEjected(candidate.server(), nowMillis)) {
        kept.add(candidate);
      }
    }
    int ejected = candidates.size() - kept.size();
    return ejected > candidates.size() * MAX_EJECTED_SHARE ? candidates : kept;
  }
}
