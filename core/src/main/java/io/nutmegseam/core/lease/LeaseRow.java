package io.nutmegseam.core.lease;

/**
 * The lease row of a node.
 *
 * @param node name of the node
 * @param incarnation changes with every start of the node's process
 * @param dataCentre the node's data centre
 * @param vm the VM on which it runs
 * @param peerAddress address for peers, as {@code host:port}
 * @param operatorAddress base address of the operator interface
 * @param renewal rises with every renewal
 * @param leaving whether the node is shutting down
 * @param newestSchemaVersion newest record schema version that the node reads
 * @param revision configuration revision in force on the node
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
