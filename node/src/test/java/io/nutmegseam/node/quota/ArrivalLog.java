package io.nutmegseam.node.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** The requests that have reached a server. */
final class ArrivalLog {
  private static final long SECOND_MILLIS = 1_000;

  private final List<Arrival> arrivals = new ArrayList<>();

  /**
   * A request that has reached the server.
   *
   * @param counted whether its node had known the limit for long enough and was in touch
   * @param rejected whether the server had no room for it
   */
  record Arrival(long atMillis, boolean counted, boolean rejected) {}

  void add(Arrival arrival) {
    arrivals.add(arrival);
  }

  /** Returns the number of requests since a time. */
  long countSince(long sinceMillis) {
    return times(arrival -> true, sinceMillis).size();
  }

  /**
   * Returns the largest number of requests within 4 s since a time, from nodes that had been told
   * the limit and were in touch.
   */
  long mostWithinWindow(long sinceMillis) {
    return ArrivalWindow.most(times(Arrival::counted, sinceMillis));
  }

  /**
   * Returns the largest number of requests that the server rejected within a second since a time,
   * from nodes that had been told the limit and were in touch.
   */
  long mostRejectedWithinSecond(long sinceMillis) {
    return ArrivalWindow.most(
        times(arrival -> arrival.counted() && arrival.rejected(), sinceMillis), SECOND_MILLIS);
  }

  private List<Long> times(Predicate<Arrival> filter, long sinceMillis) {
    return arrivals.stream()
        .filter(filter)
        .map(Arrival::atMillis)
        .filter(at -> at >= sinceMillis)
        .toList();
  }
}
