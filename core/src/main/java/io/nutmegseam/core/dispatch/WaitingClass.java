package io.nutmegseam.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * Requests of one priority that wait for a model.
 *
 * @param priority the priority; 0 is the highest
 * @param waiting number of the requests
 * @param meetable how many of them would meet their target after a swap that starts now
 * @param earliestTargetMillis earliest monotonic time at which the target of one of these ends;
 *     {@code Long.MAX_VALUE} if there are none
 */
public record WaitingClass(int priority, int waiting, int meetable, long earliestTargetMillis) {
  /** Value of a request that misses its target, relative to one that meets it. */
  private static final double LATE_REQUEST_VALUE = 0.15;

  /**
   * A swap from disk with its orders takes 1.2 s. A load that starts later than after another one
   * would miss the target.
   */
  private static final long TWO_SWAPS_MILLIS = 2_400;

  /** Returns the class of one waiting request. */
  public static WaitingClass of(int priority, long targetMillis, boolean meetable) {
    return new WaitingClass(
        priority, 1, meetable ? 1 : 0, meetable ? targetMillis : Long.MAX_VALUE);
  }

  /** Returns the classes with those of the same priority merged, by priority. */
  public static List<WaitingClass> merge(Collection<WaitingClass> classes) {
    TreeMap<Integer, WaitingClass> byPriority = new TreeMap<>();
    classes.forEach(c -> byPriority.merge(c.priority(), c, WaitingClass::plus));
    return new ArrayList<>(byPriority.values());
  }

  /**
   * Returns the value of loading the model now, relative to that for requests of priority 0. The
   * third of the value at priority 2 is more than that of a late request of priority 0, since a
   * load gains little for requests that are late anyway.
   */
  public double value() {
    return (meetable + LATE_REQUEST_VALUE * (waiting - meetable)) / (1 + Math.max(0, priority));
  }

  /** Returns whether a request would miss its target if another model were loaded first. */
  public boolean isPressing(long nowMillis) {
    return meetable > 0 && earliestTargetMillis - nowMillis < TWO_SWAPS_MILLIS;
  }

  private WaitingClass plus(WaitingClass other) {
    return new WaitingClass(
        priority,
        waiting + other.waiting,
        meetable + other.meetable,
        Math.min(earliestTargetMillis, other.earliestTargetMillis));
  }
}
