package io.nutmegseam.core.ownership;

/** An action that a node must run for its ownership of a server. */
public sealed interface OwnershipAction {
  /**
   * Writes the server's row by compare-and-set.
   *
   * @param row the new row
   * @param expectedVersion the row version that it replaces
   */
  record WriteRow(ServerRow row, long expectedVersion) implements OwnershipAction {}

  /**
   * Registers the fencing number with the engine.
   *
   * @param epoch the fencing number
   */
  record ClaimEngine(long epoch) implements OwnershipAction {}

  /** Starts the ownership: the node may send orders to the server from now on. */
  record BecomeOwner() implements OwnershipAction {}

  /** Ends the ownership: the node sends no order to the server from now on. */
  record StopOwning() implements OwnershipAction {}
}
