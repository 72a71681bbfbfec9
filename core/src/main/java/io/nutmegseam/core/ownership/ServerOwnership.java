package io.nutmegseam.core.ownership;

import io.nutmegseam.core.lease.HolderStatus;
import java.util.List;

/**
 * State machine of one node's ownership of one backend server. Immutable; {@link #apply} returns
 * the next state.
 *
 * @param node this node
 * @param incarnation this node's incarnation
 * @param checksFencing whether the server refuses outdated fencing numbers
 * @param settleMillis time within which orders of an earlier owner arrive or are lost
 * @param phase progress of the node
 * @param row the server's row as last read or written
 * @param rowVersion the row's version
 * @param settledAtMillis monotonic time from which no order of an earlier owner can arrive
 */
public record ServerOwnership(
    String node,
    String incarnation,
    boolean checksFencing,
    long settleMillis,
    Phase phase,
    ServerRow row,
    long rowVersion,
    long settledAtMillis) {
  /** The progress of a node towards ownership. */
  public enum Phase {
    /** Another node owns the server, or none does. */
    WATCHING,
    /** The row write that makes this node the owner is in flight; its outcome is not known yet. */
    TAKING,
    /** The row names this node as owner; the engine has not confirmed the fencing number yet. */
    CLAIMING,
    /** Orders of an earlier owner may still arrive. */
    SETTLING,
    /** This node sends the server its orders. */
    OWNED,
    /** The row write that releases the server is in flight; its outcome is not known yet. */
    RELEASING
  }

  /**
   * The result of one event.
   *
   * @param next the new state
   * @param actions the actions to run, in order
   */
  public record Transition(ServerOwnership next, List<OwnershipAction> actions) {}

  /**
   * Returns the initial state of a node that has not read the server's row yet.
   *
   * @param node this node
   * @param incarnation this node's incarnation
   * @param checksFencing whether the server refuses outdated fencing numbers
   * @param settleMillis time within which orders of an earlier owner arrive or are lost
   */
  public static ServerOwnership watching(
      String node, String incarnation, boolean checksFencing, long settleMillis) {
    return new ServerOwnership(
        node, incarnation, checksFencing, settleMillis, Phase.WATCHING, ServerRow.unowned(), 0, 0);
  }

  /** Returns whether this node may send orders to the server. */
  public boolean maySendOrders() {
    return phase == Phase.OWNED;
  }

  /**
   * Applies one event.
   *
   * @param event what happened
   * @param takeover decides whether the server may be taken over
   * @return the new state and the actions to run
   */
  public Transition apply(OwnershipEvent event, TakeoverRule takeover) {
    if (event instanceof OwnershipEvent.RowSeen seen) {
      return onRowSeen(seen);
    }
    if (event instanceof OwnershipEvent.Review review) {
      return onReview(review, takeover);
    }
    if (event instanceof OwnershipEvent.WriteConfirmed confirmed) {
      return onWriteConfirmed(confirmed);
    }
    if (event instanceof OwnershipEvent.WriteConflicted
        || event instanceof OwnershipEvent.WriteUnknown) {
      return onWriteFailed();
    }
    if (event instanceof OwnershipEvent.EngineClaimed claimed) {
      boolean current = phase == Phase.CLAIMING && claimed.epoch() == row.epoch();
      return current ? onEngineClaimed() : withoutActions();
    }
    if (event instanceof OwnershipEvent.EngineFenced fenced) {
      boolean current = phase != Phase.WATCHING && fenced.epoch() == row.epoch();
      return current ? stopOwning() : withoutActions();
    }
    return withoutActions();
  }

  private Transition onRowSeen(OwnershipEvent.RowSeen seen) {
    if (seen.version() < rowVersion) {
      return withoutActions();
    }
    ServerOwnership next = withRow(seen.row(), seen.version());
    boolean ownedByThisNode = seen.row().isOwnedBy(node, incarnation);
    if (ownedByThisNode && (phase == Phase.TAKING || phase == Phase.WATCHING)) {
      return next.withSettledAt(seen.nowMillis() + settleMillis).startClaiming();
    }
    boolean acquiredRow = phase != Phase.WATCHING && phase != Phase.TAKING;
    if (!ownedByThisNode && acquiredRow) {
      return next.stopOwning();
    }
    return next.withoutActions();
  }

  private Transition onReview(OwnershipEvent.Review review, TakeoverRule takeover) {
    return switch (phase) {
      case WATCHING, TAKING -> reviewTakeover(review, takeover);
      case CLAIMING -> new Transition(this, List.of(new OwnershipAction.ClaimEngine(row.epoch())));
      case SETTLING -> review.nowMillis() >= settledAtMillis ? becomeOwner() : withoutActions();
      case OWNED ->
          review.preferred() || review.ordersInFlight() ? withoutActions() : startReleasing();
      case RELEASING -> withoutActions();
    };
  }

  private Transition reviewTakeover(OwnershipEvent.Review review, TakeoverRule takeover) {
    boolean mayTakeOver =
        review.holder() != HolderStatus.SELF
            && takeover.mayTakeOver(review.holder(), checksFencing);
    if (phase == Phase.WATCHING && review.preferred() && mayTakeOver) {
      ServerOwnership next = withPhase(Phase.TAKING);
      ServerRow acquired = row.acquiredBy(node, incarnation);
      return new Transition(next, List.of(new OwnershipAction.WriteRow(acquired, rowVersion)));
    }
    return withoutActions();
  }

  private Transition onWriteConfirmed(OwnershipEvent.WriteConfirmed confirmed) {
    if (confirmed.version() < rowVersion) {
      // The row has been written again before the response arrived.
      return onWriteFailed();
    }
    ServerOwnership next = withRow(confirmed.row(), confirmed.version());
    boolean ownedByThisNode = confirmed.row().isOwnedBy(node, incarnation);
    if (ownedByThisNode && (phase == Phase.TAKING || phase == Phase.WATCHING)) {
      return next.withSettledAt(confirmed.nowMillis() + settleMillis).startClaiming();
    }
    return !ownedByThisNode && phase == Phase.RELEASING
        ? next.withPhase(Phase.WATCHING).withoutActions()
        : next.withoutActions();
  }

  private Transition onWriteFailed() {
    return phase == Phase.TAKING || phase == Phase.RELEASING
        ? withPhase(Phase.WATCHING).withoutActions()
        : withoutActions();
  }

  private Transition startClaiming() {
    return new Transition(
        withPhase(Phase.CLAIMING), List.of(new OwnershipAction.ClaimEngine(row.epoch())));
  }

  private Transition onEngineClaimed() {
    boolean mustSettle = !checksFencing && row.epoch() > 1;
    return mustSettle ? withPhase(Phase.SETTLING).withoutActions() : becomeOwner();
  }

  private Transition becomeOwner() {
    return new Transition(withPhase(Phase.OWNED), List.of(new OwnershipAction.BecomeOwner()));
  }

  private Transition startReleasing() {
    return new Transition(
        withPhase(Phase.RELEASING),
        List.of(
            new OwnershipAction.StopOwning(),
            new OwnershipAction.WriteRow(row.released(), rowVersion)));
  }

  private Transition stopOwning() {
    return new Transition(withPhase(Phase.WATCHING), List.of(new OwnershipAction.StopOwning()));
  }

  private Transition withoutActions() {
    return new Transition(this, List.of());
  }

  private ServerOwnership withPhase(Phase next) {
    return new ServerOwnership(
        node, incarnation, checksFencing, settleMillis, next, row, rowVersion, settledAtMillis);
  }

  private ServerOwnership withRow(ServerRow nextRow, long version) {
    return new ServerOwnership(
        node, incarnation, checksFencing, settleMillis, phase, nextRow, version, settledAtMillis);
  }

  private ServerOwnership withSettledAt(long atMillis) {
    return new ServerOwnership(
        node, incarnation, checksFencing, settleMillis, phase, row, rowVersion, atMillis);
  }
}
