package io.nutmegseam.node.control;

import io.nutmegseam.core.backend.LoadReport;
import io.nutmegseam.core.coldstart.UnitUse;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Follows how the loaded units of one backend server are used, from its load reports. */
final class UsageTracker {
  /** The smoothed rate forgets half in this time. */
  private static final double RATE_HALF_LIFE_MILLIS = 60_000;

  /** Rate taken for a unit that was just loaded; its silence soon bounds the expected rate. */
  private static final double FIRST_RATE_PER_SECOND = 1;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Map<String, Track> tracks = new HashMap<>();

  private static final class Track {
    private final long loadedAtMillis;
    private long lastUsedMillis;
    private long started;
    private int running;
    private double ratePerSecond;
    private long sampledAtMillis;

    private Track(long nowMillis, double ratePerSecond) {
      this.loadedAtMillis = nowMillis;
      this.lastUsedMillis = nowMillis;
      this.sampledAtMillis = nowMillis;
      this.ratePerSecond = ratePerSecond;
    }
  }

  /** The size of a unit and the time to load it again. */
  record UnitCost(long reloadMillis, double acceleratorShare) {}

  /** Takes in a report; units that are not loaded any more are forgotten. */
  void onReport(LoadReport report, Set<String> loaded, long nowMillis) {
    tracks.keySet().retainAll(loaded);
    for (String unit : loaded) {
      Track track = tracks.computeIfAbsent(unit, k -> newTrack(report, unit, nowMillis));
      sample(track, report, unit, nowMillis);
    }
  }

  /** Returns the use of a unit, or null if it is not loaded. */
  UnitUse usage(String unit, UnitCost cost) {
    Track track = tracks.get(unit);
    if (track == null) {
      return null;
    }
    return new UnitUse(
        track.running,
        track.ratePerSecond,
        track.lastUsedMillis,
        track.loadedAtMillis,
        cost.reloadMillis(),
        cost.acceleratorShare());
  }

  Set<String> units() {
    return Set.copyOf(tracks.keySet());
  }

  private static Track newTrack(LoadReport report, String unit, long nowMillis) {
    Track track = new Track(nowMillis, FIRST_RATE_PER_SECOND);
    track.started = report.startedByUnit().getOrDefault(unit, 0L);
    return track;
  }

  private static void sample(Track track, LoadReport report, String unit, long nowMillis) {
    long started = report.startedByUnit().getOrDefault(unit, 0L);
    long fresh = Math.max(0, started - track.started);
    long passedMillis = Math.max(1, nowMillis - track.sampledAtMillis);
    double kept = Math.pow(0.5, passedMillis / RATE_HALF_LIFE_MILLIS);
    double now = fresh * MILLIS_PER_SECOND / passedMillis;
    track.ratePerSecond = track.ratePerSecond * kept + now * (1 - kept);
    track.started = started;
    track.sampledAtMillis = nowMillis;
    track.running = report.runningByUnit().getOrDefault(unit, 0);
    if (fresh > 0 || track.running > 0) {
      track.lastUsedMillis = nowMillis;
    }
  }
}
