package io.nutmegseam.core.orders;

/**
 * How much a model or adapter is asked for, over all nodes.
 *
 * @param waiting requests that wait for it
 * @param meetable those of them that a swap would still answer within their target
 * @param earliestDeadlineMillis monotonic time at which the first of them can wait no longer
 * @param ratePerSecond running mean of the requests a second
 */
public record ModelDemand(
    int waiting, int meetable, long earliestDeadlineMillis, double ratePerSecond) {
  /** No request. */
  public static final ModelDemand NONE = new ModelDemand(0, 0, Long.MAX_VALUE, 0);

  /** What a request that misses its target is worth beside one that does not. */
  private static final double LATE_WORTH = 0.15;

  /** Returns what loading the model now is worth to the requests that wait for it. */
  double value() {
    return meetable + LATE_WORTH * (waiting - meetable);
  }

  /** Returns the demand of both. */
  public ModelDemand plus(ModelDemand other) {
    return new ModelDemand(
        waiting + other.waiting,
        meetable + other.meetable,
        Math.min(earliestDeadlineMillis, other.earliestDeadlineMillis),
        ratePerSecond + other.ratePerSecond);
  }
}
