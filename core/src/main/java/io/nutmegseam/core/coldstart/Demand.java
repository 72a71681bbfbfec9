package io.nutmegseam.core.coldstart;

/**
 * The requests of all nodes that wait for one unit. Times are on the owner's monotonic clock.
 *
 * @param unit the model or adapter
 * @param waiting number of waiting requests
 * @param interactive whether one of them is interactive
 * @param earliestDeadlineMillis earliest deadline among them
 * @param latestDeadlineMillis latest deadline among them
 * @param waitingSinceMillis time at which the first of them began to wait
 */
public record Demand(
    String unit,
    int waiting,
    boolean interactive,
    long earliestDeadlineMillis,
    long latestDeadlineMillis,
    long waitingSinceMillis) {
  /** Returns the combined demand of both groups of requests, for the unit of this demand. */
  public Demand merge(Demand other) {
    return new Demand(
        unit,
        waiting + other.waiting,
        interactive || other.interactive,
        Math.min(earliestDeadlineMillis, other.earliestDeadlineMillis),
        Math.max(latestDeadlineMillis, other.latestDeadlineMillis),
        Math.min(waitingSinceMillis, other.waitingSinceMillis));
  }

  /** Returns the same waiting requests as demand for another unit, such as an adapter's model. */
  public Demand forUnit(String otherUnit) {
    return new Demand(
        otherUnit,
        waiting,
        interactive,
        earliestDeadlineMillis,
        latestDeadlineMillis,
        waitingSinceMillis);
  }

  /** Returns the demand of a unit for which no requests wait. */
  public static Demand none(String unit) {
    return new Demand(unit, 0, false, Long.MAX_VALUE, Long.MIN_VALUE, Long.MAX_VALUE);
  }
}
