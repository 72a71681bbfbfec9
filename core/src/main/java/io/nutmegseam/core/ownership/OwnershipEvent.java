package io.nutmegseam.core.ownership;

import io.nutmegseam.core.lease.HolderStatus;

/** An event that changes the ownership of a server. */
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
   * The periodic review of the ownership is due.
   *
   * @param preferred whether this node should own the server
   * @param holder what is known about the row's holder
   * @param ordersInFlight whether orders of this node to the server are in flight
   * @param nowMillis monotonic time
   */
  record Review(boolean preferred, HolderStatus holder, boolean ordersInFlight, long nowMillis)
      implements OwnershipEvent {}

  /**
   * A row write took effect. Its response may arrive late, when another write is in flight.
   *
   * @param row the row that was written
   * @param version the row's new version
   * @param nowMillis monotonic time
   */
  record WriteConfirmed(ServerRow row, long version, long nowMillis) implements OwnershipEvent {}

  /** The row write was rejected because another node wrote the row first. */
  record WriteConflicted() implements OwnershipEvent {}

  /**
   * The outcome of the row write is unknown; the next read of the row determines it, even if the
   * write takes effect late.
   */
  record WriteUnknown() implements OwnershipEvent {}

  /**
   * The engine has accepted a fencing number, or does not check fencing numbers.
   *
   * @param epoch the fencing number, which may be that of an earlier claim
   */
  record EngineClaimed(long epoch) implements OwnershipEvent {}

  /**
   * The engine has seen a higher fencing number.
   *
   * @param epoch the rejected fencing number, which may be that of an earlier claim
   */
  record EngineFenced(long epoch) implements OwnershipEvent {}

  /** The engine did not confirm the fencing number. */
  record EngineUnreachable() implements OwnershipEvent {}
}
