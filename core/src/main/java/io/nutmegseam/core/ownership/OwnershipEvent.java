package io.nutmegseam.core.ownership;

import io.nutmegseam.core.lease.HolderStatus;

/** What can happen to the ownership of a server. */
public sealed interface OwnershipEvent {
  /**
   * The server's row was read.
   *
   * @param row the row
   * @param version its version
   * @param nowMillis monotonic time
   */
  record RowSeen(ServerRow row, long version, long nowMillis) implements OwnershipEvent {}

  /**
   * The periodic review.
   *
   * @param preferred whether this node is the one that should own the server
   * @param holder what is known about the row's holder
   * @param ordersInFlight whether orders of this node are still open
   * @param nowMillis monotonic time
   */
  record Review(boolean preferred, HolderStatus holder, boolean ordersInFlight, long nowMillis)
      implements OwnershipEvent {}

  /**
   * The row write took effect.
   *
   * @param version the row's new version
   * @param nowMillis monotonic time
   */
  record WriteConfirmed(long version, long nowMillis) implements OwnershipEvent {}

  /** The row write was refused, since another node was faster. */
  record WriteConflicted() implements OwnershipEvent {}

  /**
   * The outcome of the row write is unknown; the next read of the row settles it, also when the
   * write takes effect late.
   */
  record WriteUnknown() implements OwnershipEvent {}

  /** The engine has taken the fencing number, or does not check it. */
  record EngineClaimed() implements OwnershipEvent {}

  /** The engine has seen a higher fencing number. */
  record EngineFenced() implements OwnershipEvent {}

  /** The engine gave no answer. */
  record EngineUnreachable() implements OwnershipEvent {}
}
