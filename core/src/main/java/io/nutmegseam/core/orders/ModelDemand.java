package io.nutmegseam.core.orders;

/**
 * How much a model or adapter is asked for, over all nodes.
 *
 * @param waiting requests that wait for it
 * @param earliestDeadlineMillis monotonic time at which the first of them can wait no longer
 * @param ratePerSecond running mean of the requests a second
 */
public record ModelDemand(int waiting, long earliestDeadlineMillis, double ratePerSecond) {
  /** No request. */
  public static final ModelDemand NONE = new ModelDemand(0, Long.MAX_VALUE, 0);
}
