package io.nutmegseam.core.orders;

/**
 * The requests for an adapter that run, over all nodes.
 *
 * @param count number of requests that run or may run
 * @param endMillis monotonic time at which the last of them is expected to end, in milliseconds;
 *     {@code Long.MAX_VALUE} if it is not known
 */
public record AdapterRuns(int count, long endMillis) {
  /** No runs. */
  public static final AdapterRuns NONE = new AdapterRuns(0, Long.MIN_VALUE);

  /** Returns runs of which nothing is known but that there may be some. */
  public static AdapterRuns unknown(int count) {
    return new AdapterRuns(count, Long.MAX_VALUE);
  }

  /** Returns the runs of both. */
  public AdapterRuns plus(AdapterRuns other) {
    return new AdapterRuns(count + other.count, Math.max(endMillis, other.endMillis));
  }
}
