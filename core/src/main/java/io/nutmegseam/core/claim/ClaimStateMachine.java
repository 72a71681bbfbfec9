package io.nutmegseam.core.claim;

import io.nutmegseam.core.platform.Transaction;

/**
 * State machine of one attempt to claim an idempotency key. Only {@link Phase#HELD} permits
 * dispatch. Immutable; {@link #apply} returns the next state.
 *
 * @param phase progress of the attempt
 * @param expectedVersion row version that the next insert replaces
 * @param unconfirmedInserts number of inserts that conflicted or whose outcome is unknown
 */
public record ClaimStateMachine(Phase phase, long expectedVersion, int unconfirmedInserts) {
  /** The progress of an attempt. */
  public enum Phase {
    /** The claim row must be written. */
    INSERTING,
    /** The row must be read, because the insert conflicted or its outcome is unknown. */
    READING_BACK,
    /** The row belongs to this attempt; the call may be dispatched. */
    HELD,
    /** The row of an earlier call decides the response; the call is not dispatched. */
    BLOCKED,
    /** The claim cannot be confirmed now; the request is refused without having run. */
    REFUSED
  }

  /** An event that changes the state of an attempt. */
  public sealed interface Event {
    /** The insert took effect. */
    record InsertConfirmed() implements Event {}

    /** The insert was rejected because the row has another version. */
    record InsertConflicted() implements Event {}

    /** The outcome of the insert is unknown, for example because its response was lost. */
    record InsertUnknown() implements Event {}

    /**
     * The row was read.
     *
     * @param decision decision of the claim rule about the row
     * @param version the row's version
     */
    record RowFound(ClaimRule.Decision decision, long version) implements Event {}

    /** The row does not exist. */
    record RowAbsent() implements Event {}

    /** The row cannot be read. */
    record ReadFailed() implements Event {}
  }

  private static final int MAX_INSERTS = 3;

  /** Returns the state before the first insert. */
  public static ClaimStateMachine start() {
    return new ClaimStateMachine(Phase.INSERTING, Transaction.ABSENT, 0);
  }

  /** Returns whether the call may be dispatched. */
  public boolean permitsDispatch() {
    return phase == Phase.HELD;
  }

  /** Returns the state after an event. An event that does not fit the phase changes nothing. */
  public ClaimStateMachine apply(Event event) {
    if (event instanceof Event.InsertConfirmed) {
      return phase == Phase.INSERTING ? withPhase(Phase.HELD) : this;
    }
    if (event instanceof Event.InsertConflicted || event instanceof Event.InsertUnknown) {
      return phase == Phase.INSERTING
          ? new ClaimStateMachine(Phase.READING_BACK, expectedVersion, unconfirmedInserts + 1)
          : this;
    }
    if (phase != Phase.READING_BACK) {
      return this;
    }
    if (event instanceof Event.RowFound found) {
      return onRowFound(found);
    }
    if (event instanceof Event.RowAbsent) {
      return retryInsert(Transaction.ABSENT);
    }
    return withPhase(Phase.REFUSED);
  }

  private ClaimStateMachine onRowFound(Event.RowFound found) {
    return switch (found.decision()) {
      case PROCEED -> withPhase(Phase.HELD);
      case REPLACE -> retryInsert(found.version());
      default -> withPhase(Phase.BLOCKED);
    };
  }

  private ClaimStateMachine retryInsert(long version) {
    return unconfirmedInserts >= MAX_INSERTS
        ? withPhase(Phase.REFUSED)
        : new ClaimStateMachine(Phase.INSERTING, version, unconfirmedInserts);
  }

  private ClaimStateMachine withPhase(Phase newPhase) {
    return new ClaimStateMachine(newPhase, expectedVersion, unconfirmedInserts);
  }
}
