package io.nutmegseam.core.orders;

/**
 * The stored row of the order lease.
 *
 * @param version version of the row; 0 if the row does not exist
 * @param holder name of the process that holds the lease; empty if no process has held it
 * @param node name of the node of the holder
 * @param peerAddress address at which other nodes reach the holder, as {@code host:port}
 * @param released whether the holder has released the lease
 * @param handoverComplete whether the holder could send orders when it wrote the row; if not, the
 *     orders of the holder before it were too recent
 */
public record OrderLeaseRow(
    long version,
    String holder,
    String node,
    String peerAddress,
    boolean released,
    boolean handoverComplete) {
  /** The row of a lease that no process has held. */
  public static final OrderLeaseRow ABSENT = new OrderLeaseRow(0, "", "", "", false, true);
}
