package io.nutmegseam.core.coldstart;

import java.util.Comparator;

/** The order in which waiting units are loaded. */
@FunctionalInterface
public interface LoadOrderPolicy {
  /** Returns the comparator that puts the next load first. */
  Comparator<Demand> comparator();

  /** Interactive before batch, then by earliest deadline. */
  static LoadOrderPolicy deadline() {
    Comparator<Demand> byClass = Comparator.comparing(demand -> !demand.interactive());
    Comparator<Demand> order =
        byClass
            .thenComparingLong(Demand::earliestDeadlineMillis)
            .thenComparingLong(Demand::waitingSinceMillis)
            .thenComparing(Demand::unit);
    return () -> order;
  }

  /** By the time at which the first request began to wait. */
  static LoadOrderPolicy arrival() {
    Comparator<Demand> order =
        Comparator.comparingLong(Demand::waitingSinceMillis).thenComparing(Demand::unit);
    return () -> order;
  }

  /** Returns the order with a name of the policy record. */
  static LoadOrderPolicy named(String name) {
    return name.equals("arrival") ? arrival() : deadline();
  }
}
