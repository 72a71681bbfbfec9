package io.nutmegseam.core.coldstart;

/**
 * The requests that wait for a unit, over all nodes. Times are on the owner's monotonic clock.
 *
 * @param unit the model or adapter
 * @param waiting number of waiting requests
 * @param interactive whether one of them is interactive
 * @param earliestDeadlineMillis first deadline among them
 * @param latestDeadlineMillis last deadline among them
 * @param waitingSinceMillis time at which the first of them began to wait
 */
public record Demand(
    String unit,
    int waiting,
    boolean interactive,
    long earliestDeadlineMillis,
    long latestDeadlineMillis,
    long waitingSinceMillis) {
  /** Returns the demand of both groups of requests. */
  public Demand merge(Demand other) {
    return new Demand(
        unit,
        waiting + other.waiting,
        interactive || other.interactive,
        Math.min(earliestDeadlineMillis, other.earliestDeadlineMillis),
        Math.max(latestDeadlineMillis, other.latestDeadlineMillis),
        Math.min(waitingSinceMillis, other.waitingSinceMillis));
  }

  /** Returns the same waiting requests as a demand for another unit that they need. */
  public Demand forUnit(String other) {
    return new Demand(
        other,
        waiting,
        interactive,
        earliestDeadlineMillis,
        latestDeadlineMillis,
        waitingSinceMillis);
  }

  /** Returns a demand of no requests. */
  public static Demand none(String unit) {
    return new Demand(unit, 0, false, Long.MAX_VALUE, Long.MIN_VALUE, Long.MAX_VALUE);
  }
}
