package io.nutmegseam.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Passes over servers whose last calls failed, for a time, but never more than a share of the
 * candidates. Immutable.
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

  /** Returns the state in which no server has failed. */
  public static OutlierEjection none() {
    return new OutlierEjection(Map.of());
  }

  /** Notes a call that succeeded. */
  public OutlierEjection withSuccess(String server) {
    if (!healthByServer.containsKey(server)) {
      return this;
    }
    Map<String, Health> next = new HashMap<>(healthByServer);
    next.remove(server);
    return new OutlierEjection(next);
  }

  /** Notes a call that failed. */
  public OutlierEjection withFailure(String server, long nowMillis) {
    Health before = healthByServer.getOrDefault(server, new Health(0, 0));
    int failures = before.failures() + 1;
    long until = failures >= FAILURES_TO_EJECT ? nowMillis + EJECTION_MILLIS : 0;
    Map<String, Health> next = new HashMap<>(healthByServer);
    next.put(server, new Health(failures, until));
    return new OutlierEjection(next);
  }

  /** Returns whether a server is ejected. */
  public boolean isEjected(String server, long nowMillis) {
    Health health = healthByServer.get(server);
    return health != null && health.ejectedUntilMillis() > nowMillis;
  }

  /**
   * Returns the candidates to choose from. If more than the allowed share is ejected, all stay.
   *
   * @param candidates the candidates
   * @param nowMillis monotonic time
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
