package io.nutmegseam.core.orders;

/**
 * The row of the order lease.
 *
 * @param version version of the row; 0 if it is not there
 * @param holder names the holding process; empty if nobody has held the lease
 * @param node name of the holding node
 * @param peerAddress address at which other nodes reach the holder, as {@code host:port}
 * @param released whether the holder has given the lease up
 */
public record OrderLeaseRow(
    long version, String holder, String node, String peerAddress, boolean released) {
  /** The row of a lease that nobody has held. */
  public static final OrderLeaseRow ABSENT = new OrderLeaseRow(0, "", "", "", false);
}
