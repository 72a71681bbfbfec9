package io.nutmegseam.core.coldstart;

import java.util.Comparator;

/** Determines the order in which units that requests wait for are loaded. */
@FunctionalInterface
public interface LoadOrderPolicy {
  /** Returns the comparator that sorts the unit to load next to the front. */
  Comparator<Demand> comparator();

  /**
   * Returns a policy that loads units with interactive requests first, and then by earliest
   * deadline.
   */
  static LoadOrderPolicy deadline() {
    Comparator<Demand> byClass = Comparator.comparing(demand -> !demand.interactive());
    Comparator<Demand> order =
        byClass
            .thenComparingLong(Demand::earliestDeadlineMillis)
            .thenComparingLong(Demand::waitingSinceMillis)
            .thenComparing(Demand::unit);
    return () -> order;
  }

  /** Returns a policy that loads units in the order in which their first requests arrived. */
  static LoadOrderPolicy arrival() {
    Comparator<Demand> order =
        Comparator.comparingLong(Demand::waitingSinceMillis).thenComparing(Demand::unit);
    return () -> order;
  }

  /** Returns the policy of a policy record: {@code arrival}, else by deadline. */
  static LoadOrderPolicy named(String name) {
    return name.equals("arrival") ? arrival() : deadline();
  }
}
