package io.nutmegseam.core.orders;

/**
 * Decides when a node that begins to give orders knows enough of the servers to plan. Before, it
 * would take models for lost whose copies lie on servers that it has not heard yet: it would load
 * them from the weight store, and tell the other nodes to refuse those who wait for them.
 * Immutable.
 *
 * @param startMillis monotonic time at which the node began
 */
public record InventorySync(long startMillis) {
  /** Longer than a server that lives takes to report; the others may be gone. */
  private static final long MAX_MILLIS = 1_200;

  /**
   * Returns whether the node knows enough.
   *
   * @param known servers that have reported
   * @param total servers that are announced
   * @param nowMillis monotonic time
   */
  public boolean isComplete(int known, int total, long nowMillis) {
    return known >= total || nowMillis - startMillis >= MAX_MILLIS;
  }
}
