package io.nutmegseam.core.orders;

/**
 * Decides when a node that starts to send orders has received enough inventories to plan. Planning
 * earlier would treat models as lost whose copies are on servers that have not reported yet: the
 * node would load them from the weight store, and would make the other nodes refuse the requests
 * that wait for them. Immutable.
 *
 * @param startMillis monotonic time at which the node started to collect inventories
 */
public record InventorySync(long startMillis) {
  /** Longer than a live server takes to report; the others may be unavailable. */
  private static final long MAX_WAIT_MILLIS = 1_200;

  /**
   * Returns whether the node may plan: all announced servers have reported, or it has waited long
   * enough for them.
   *
   * @param reported number of servers that have reported
   * @param announced number of servers that are announced
   * @param nowMillis monotonic time
   */
  public boolean isComplete(int reported, int announced, long nowMillis) {
    return reported >= announced || nowMillis - startMillis >= MAX_WAIT_MILLIS;
  }
}
