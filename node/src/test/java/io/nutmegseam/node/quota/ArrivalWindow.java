package io.nutmegseam.node.quota;

import java.util.List;

/** Counts arrivals of requests in sliding windows. */
public final class ArrivalWindow {
  private static final long WINDOW_MILLIS = 4_000;

  private ArrivalWindow() {}

  /** Returns the largest number of arrivals within 4 s. */
  public static long most(List<Long> arrivalMillis) {
    return most(arrivalMillis, WINDOW_MILLIS);
  }

  /** Returns the largest number of arrivals within a window, in milliseconds. */
  static long most(List<Long> arrivalMillis, long windowMillis) {
    List<Long> sorted = arrivalMillis.stream().sorted().toList();
    long most = 0;
    int first = 0;
    for (int last = 0; last < sorted.size(); last++) {
      while (sorted.get(last) - sorted.get(first) >= windowMillis) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }
}
