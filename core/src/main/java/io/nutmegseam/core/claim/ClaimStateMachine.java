package io.nutmegseam.core.claim;

import io.nutmegseam.core.platform.Transaction;

/**
 * The steps of one attempt to claim an idempotency key. Only {@link Phase#HELD} permits dispatch.
 * Immutable; {@link #apply} is the state machine.
 *
 * @param phase how far the attempt is
 * @param expectedVersion the version that the next insert replaces
 * @param insertsSent inserts whose outcome is not known to be harmless
 */
public record ClaimStateMachine(Phase phase, long expectedVersion, int insertsSent) {
  /** How far an attempt is. */
  public enum Phase {
    /** The claim row must be written. */
    INSERTING,
    /** The row must be read, since the insert was refused or its outcome is unknown. */
    READING_BACK,
    /** The row is this attempt's; the call may be dispatched. */
    HELD,
    /** Another attempt's row stands; its decision is the answer. */
    BLOCKED,
    /** Nothing can be proved now; the request is refused without having run. */
    REFUSED
  }

  /** What can happen to an attempt. */
  public sealed interface Event {
    /** The insert took effect. */
    record InsertConfirmed() implements Event {}

    /** The insert was refused, since the row is at another version. */
    record InsertConflicted() implements Event {}

    /** The insert was lost or its outcome is unknown. */
    record InsertUnknown() implements Event {}

    /**
     * The row was read.
     *
     * @param decision what the claim rule says about it
     * @param version the row's version
     */
    record RowFound(ClaimRule.Decision decision, long version) implements Event {}

    /** The row is not there. */
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

  /** Takes one event. */
  public ClaimStateMachine apply(Event event) {
    if (event instanceof Event.InsertConfirmed) {
      return phase == Phase.INSERTING ? in(Phase.HELD) : this;
    }
    if (event instanceof Event.InsertConflicted || event instanceof Event.InsertUnknown) {
      return phase == Phase.INSERTING
          ? new ClaimStateMachine(Phase.READING_BACK, expectedVersion, insertsSent + 1)
          : this;
    }
    if (phase != Phase.READING_BACK) {
      return this;
    }
    if (event instanceof Event.RowFound found) {
      return onRow(found);
    }
    if (event instanceof Event.RowAbsent) {
      return insertAgain(Transaction.ABSENT);
    }
    return in(Phase.REFUSED);
  }

  private ClaimStateMachine onRow(Event.RowFound found) {
    return switch (found.decision()) {
      case PROCEED -> in(Phase.HELD);
      case REPLACE -> insertAgain(found.version());
      default -> in(Phase.BLOCKED);
    };
  }

  private ClaimStateMachine insertAgain(long version) {
    return insertsSent >= MAX_INSERTS
        ? in(Phase.REFUSED)
        : new ClaimStateMachine(Phase.INSERTING, version, insertsSent);
  }

  private ClaimStateMachine in(Phase next) {
    return new ClaimStateMachine(next, expectedVersion, insertsSent);
  }
}
