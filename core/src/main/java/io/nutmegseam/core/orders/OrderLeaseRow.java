package io.nutmegseam.core.orders;

/**
 * The stored row of the order lease.
 *
 * @param version version of the row; 0 if the row does not exist
 * @param holder name of the process that holds the lease; empty if no process has held it
 * @param node name of the node of the holder
 * @param peerAddress address at which other nodes reach the holder, as {@code host:port}
 * @param released whether the holder has released the lease
 * @param handoverMillis time from the write of the row until its holder may send orders, in
 *     milliseconds; 0 unless the orders of the holder before it were too recent
 * @param restored whether the row was written in an earlier era of the store than it was read in.
 *     Another process may have held the lease since, in the history that the store has lost
 */
public record OrderLeaseRow(
    long version,
    String holder,
    String node,
    String peerAddress,
    boolean released,
    long handoverMillis,
    boolean restored) {
  /** The row of a lease that no process has held. */
  public static final OrderLeaseRow ABSENT = new OrderLeaseRow(0, "", "", "", false, 0, false);

  /** The missing row in a store that has returned from a copy without it. */
  public static final OrderLeaseRow LOST = new OrderLeaseRow(0, "", "", "", false, 0, true);
}
