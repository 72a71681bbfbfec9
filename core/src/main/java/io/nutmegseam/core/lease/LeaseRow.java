package io.nutmegseam.core.lease;

/**
 * The lease row of a node.
 *
 * @param node name of the node
 * @param incarnation identifies the run of the node's process; new at each start
 * @param dataCentre the node's data centre
 * @param vm the VM on which it runs
 * @param peerAddress address for connections of peers, as {@code host:port}
 * @param operatorAddress base address of the operator interface
 * @param renewal number that rises with each renewal
 * @param leaving whether the node is shutting down
 * @param newestSchemaVersion newest record schema version that the node reads
 * @param revision configuration revision that the node has applied
 */
public record LeaseRow(
    String node,
    String incarnation,
    String dataCentre,
    String vm,
    String peerAddress,
    String operatorAddress,
    long renewal,
    boolean leaving,
    int newestSchemaVersion,
    long revision) {
  /** Prefix of the keys of lease rows. */
  public static final String PREFIX = "lease/";

  /** Returns the key of the row. */
  public String key() {
    return PREFIX + dataCentre + "/" + node;
  }
}
