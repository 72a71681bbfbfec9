package io.nutmegseam.core.orders;

import io.nutmegseam.core.dispatch.WaitingClass;
import java.util.List;
import java.util.stream.Stream;

/**
 * The demand for a model or adapter, over all nodes.
 *
 * @param waiting requests that wait for it
 * @param meetable those of them whose target a swap can still meet
 * @param earliestDeadlineMillis earliest monotonic time, in milliseconds, at which one of them can
 *     wait no longer
 * @param ratePerSecond running mean of the requests per second
 * @param requestCount number of requests so far, whether they were served, wait or were refused;
 *     restarts at 0 if there are none for a while
 * @param classes waiting requests by priority; those that nodes of earlier builds report are
 *     missing
 * @param runs requests for an adapter that run or may run
 */
public record ModelDemand(
    int waiting,
    int meetable,
    long earliestDeadlineMillis,
    double ratePerSecond,
    long requestCount,
    List<WaitingClass> classes,
    AdapterRuns runs) {
  /** No demand. */
  public static final ModelDemand NONE = new ModelDemand(0, 0, Long.MAX_VALUE, 0, 0);

  /** Value of a request that misses its target, relative to one that meets it. */
  private static final double LATE_REQUEST_VALUE = 0.15;

  /** Creates a demand with a copy of the classes. */
  public ModelDemand {
    classes = List.copyOf(classes);
  }

  /** Creates a demand without runs. */
  public ModelDemand(
      int waiting,
      int meetable,
      long earliestDeadlineMillis,
      double ratePerSecond,
      long requestCount,
      List<WaitingClass> classes) {
    this(
        waiting,
        meetable,
        earliestDeadlineMillis,
        ratePerSecond,
        requestCount,
        classes,
        AdapterRuns.NONE);
  }

  /** Creates a demand of runs alone. */
  public static ModelDemand ofRuns(AdapterRuns runs) {
    return new ModelDemand(0, 0, Long.MAX_VALUE, 0, 0, List.of(), runs);
  }

  /** Creates a demand whose waiting requests have no known priority. */
  public ModelDemand(
      int waiting,
      int meetable,
      long earliestDeadlineMillis,
      double ratePerSecond,
      long requestCount) {
    this(waiting, meetable, earliestDeadlineMillis, ratePerSecond, requestCount, List.of());
  }

  /** Returns the value of loading the model now for its waiting requests. */
  double value() {
    int otherWaiting = waiting;
    int otherMeetable = meetable;
    double value = 0;
    for (WaitingClass one : classes) {
      otherWaiting -= one.waiting();
      otherMeetable -= one.meetable();
      value += one.value();
    }
    return value + otherMeetable + LATE_REQUEST_VALUE * (otherWaiting - otherMeetable);
  }

  /** Returns whether a request would miss its target if another model were loaded first. */
  boolean isPressing(long nowMillis) {
    return classes.stream().anyMatch(one -> one.isPressing(nowMillis));
  }

  /** Returns the sum of both demands, with the earlier of their deadlines. */
  public ModelDemand plus(ModelDemand other) {
    return new ModelDemand(
        waiting + other.waiting,
        meetable + other.meetable,
        Math.min(earliestDeadlineMillis, other.earliestDeadlineMillis),
        ratePerSecond + other.ratePerSecond,
        requestCount + other.requestCount,
        WaitingClass.merge(Stream.concat(classes.stream(), other.classes.stream()).toList()),
        runs.plus(other.runs));
  }
}
