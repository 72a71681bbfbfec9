package io.nutmegseam.core.pace;

import java.util.HashMap;
import java.util.Map;

/** Collects the ratios that a node has measured until they are reported. Thread-safe. */
public final class PaceReports {
  /** A report of more servers would not fit the control traffic of a node; the rest is dropped. */
  static final int MAX_SERVERS = 64;

  private final Map<String, RatioSum> sums = new HashMap<>();

  /** Adds a measured ratio. */
  public synchronized void add(String server, double ratio) {
    if (sums.size() < MAX_SERVERS || sums.containsKey(server)) {
      sums.merge(server, new RatioSum(Math.log(ratio), 1), RatioSum::plus);
    }
  }

  /** Returns and removes what has been collected. */
  public synchronized Map<String, RatioSum> drain() {
    Map<String, RatioSum> drained = Map.copyOf(sums);
    sums.clear();
    return drained;
  }
}
