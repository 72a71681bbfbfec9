package io.nutmegseam.core.orders;

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
 */
public record ModelDemand(
    int waiting,
    int meetable,
    long earliestDeadlineMillis,
    double ratePerSecond,
    long requestCount) {
  /** No demand. */
  public static final ModelDemand NONE = new ModelDemand(0, 0, Long.MAX_VALUE, 0, 0);

  /** Value of a request that misses its target, relative to one that meets it. */
  private static final double LATE_REQUEST_VALUE = 0.15;

  /** Returns the value of loading the model now for its waiting requests. */
  double value() {
    return meetable + LATE_REQUEST_VALUE * (waiting - meetable);
  }

  /** Returns the sum of both demands, with the earlier of their deadlines. */
  public ModelDemand plus(ModelDemand other) {
    return new ModelDemand(
        waiting + other.waiting,
        meetable + other.meetable,
        Math.min(earliestDeadlineMillis, other.earliestDeadlineMillis),
        ratePerSecond + other.ratePerSecond,
        requestCount + other.requestCount);
  }
}
