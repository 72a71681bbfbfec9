package io.nutmegseam.core.ownership;

/** What the ownership of a server asks for. */
public sealed interface OwnershipAction {
  /**
   * Write the server's row by compare-and-set.
   *
   * @param row the new row
   * @param expectedVersion the version that it replaces
   */
  record WriteRow(ServerRow row, long expectedVersion) implements OwnershipAction {}

  /**
   * Make the fencing number known to the engine.
   *
   * @param epoch the fencing number
   */
  record ClaimEngine(long epoch) implements OwnershipAction {}

  /** The node owns the server from now on. */
  record BecomeOwner() implements OwnershipAction {}

  /** The node gives no order to the server from now on. */
  record StopOwning() implements OwnershipAction {}
}
