package io.nutmegseam.core.ownership;

import io.nutmegseam.core.lease.HolderStatus;
import java.util.List;

/**
 * How far one node is with the ownership of one backend server. Immutable; {@link #apply} is the
 * state machine.
 *
 * @param node this node
 * @param incarnation this node's incarnation
 * @param checksFencing whether the server refuses old fencing numbers
 * @param settleMillis time within which orders of an earlier owner arrive or are lost
 * @param phase how far the node is
 * @param row the row as last known
 * @param rowVersion the row's version
 * @param settledAtMillis monotonic time at which earlier orders have settled
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
  /** How far a node is. */
  public enum Phase {
    /** Another node owns the server, or none does. */
    WATCHING,
    /** The row write that takes the server is in flight or its outcome is unknown. */
    TAKING,
    /** The row is this node's; the engine must learn the fencing number. */
    CLAIMING,
    /** Orders of an earlier owner may still arrive. */
    SETTLING,
    /** This node gives the server its orders. */
    OWNED,
    /** The row write that releases the server is in flight or its outcome is unknown. */
    RELEASING
  }

  /**
   * The outcome of one event.
   *
   * @param next the new state
   * @param actions what to do, in order
   */
  public record Transition(ServerOwnership next, List<OwnershipAction> actions) {}

  /**
   * Creates the state of a node that knows nothing about the server's row.
   *
   * @param node this node
   * @param incarnation this node's incarnation
   * @param checksFencing whether the server refuses old fencing numbers
   * @param settleMillis time within which orders of an earlier owner arrive or are lost
   */
  public static ServerOwnership watching(
      String node, String incarnation, boolean checksFencing, long settleMillis) {
    return new ServerOwnership(
        node, incarnation, checksFencing, settleMillis, Phase.WATCHING, ServerRow.unowned(), 0, 0);
  }

  /** Returns whether this node may give orders to the server. */
  public boolean maySendOrders() {
    return phase == Phase.OWNED;
  }

  /**
   * Takes one event.
   *
   * @param event what happened
   * @param takeover the takeover rule
   * @return the new state and what to do
   */
  public Transition apply(OwnershipEvent event, TakeoverRule takeover) {
    if (event instanceof OwnershipEvent.RowSeen seen) {
      return onRowSeen(seen);
    }
    if (event instanceof OwnershipEvent.Review review) {
      return onReview(review, takeover);
    }
    if (event instanceof OwnershipEvent.WriteConfirmed written) {
      return onRowWritten(written);
    }
    if (event instanceof OwnershipEvent.WriteConflicted
        || event instanceof OwnershipEvent.WriteUnknown) {
      return writeFailed();
    }
    if (event instanceof OwnershipEvent.EngineClaimed) {
      return phase == Phase.CLAIMING ? claimed() : stay();
    }
    if (event instanceof OwnershipEvent.EngineFenced) {
      return phase == Phase.WATCHING ? stay() : dropped();
    }
    return stay();
  }

  private Transition onRowSeen(OwnershipEvent.RowSeen seen) {
    if (seen.version() < rowVersion) {
      return stay();
    }
    ServerOwnership next = withRow(seen.row(), seen.version());
    boolean ours = seen.row().isOwnedBy(node, incarnation);
    if (ours && (phase == Phase.TAKING || phase == Phase.WATCHING)) {
      return next.withSettledAt(seen.nowMillis() + settleMillis).claiming();
    }
    boolean holding = phase != Phase.WATCHING && phase != Phase.TAKING;
    if (!ours && holding) {
      return next.dropped();
    }
    return next.stay();
  }

  private Transition onReview(OwnershipEvent.Review review, TakeoverRule takeover) {
    return switch (phase) {
      case WATCHING, TAKING -> reviewTaking(review, takeover);
      case CLAIMING -> new Transition(this, List.of(new OwnershipAction.ClaimEngine(row.epoch())));
      case SETTLING -> review.nowMillis() >= settledAtMillis ? owned() : stay();
      case OWNED -> review.preferred() || review.ordersInFlight() ? stay() : releasing();
      case RELEASING -> stay();
    };
  }

  private Transition reviewTaking(OwnershipEvent.Review review, TakeoverRule takeover) {
    boolean free =
        review.holder() != HolderStatus.SELF
            && takeover.mayTakeOver(review.holder(), checksFencing);
    if (phase == Phase.WATCHING && review.preferred() && free) {
      ServerOwnership next = withPhase(Phase.TAKING);
      ServerRow taken = row.acquiredBy(node, incarnation);
      return new Transition(next, List.of(new OwnershipAction.WriteRow(taken, rowVersion)));
    }
    return stay();
  }

  private Transition onRowWritten(OwnershipEvent.WriteConfirmed written) {
    if (phase == Phase.TAKING) {
      ServerRow taken = row.acquiredBy(node, incarnation);
      return withRow(taken, written.version())
          .withSettledAt(written.nowMillis() + settleMillis)
          .claiming();
    }
    if (phase == Phase.RELEASING) {
      return withRow(row.released(), written.version()).withPhase(Phase.WATCHING).stay();
    }
    return stay();
  }

  private Transition writeFailed() {
    return phase == Phase.TAKING || phase == Phase.RELEASING
        ? withPhase(Phase.WATCHING).stay()
        : stay();
  }

  private Transition claiming() {
    return new Transition(
        withPhase(Phase.CLAIMING), List.of(new OwnershipAction.ClaimEngine(row.epoch())));
  }

  private Transition claimed() {
    boolean mustSettle = !checksFencing && row.epoch() > 1;
    return mustSettle ? withPhase(Phase.SETTLING).stay() : owned();
  }

  private Transition owned() {
    return new Transition(withPhase(Phase.OWNED), List.of(new OwnershipAction.BecomeOwner()));
  }

  private Transition releasing() {
    return new Transition(
        withPhase(Phase.RELEASING),
        List.of(
            new OwnershipAction.StopOwning(),
            new OwnershipAction.WriteRow(row.released(), rowVersion)));
  }

  private Transition dropped() {
    return new Transition(withPhase(Phase.WATCHING), List.of(new OwnershipAction.StopOwning()));
  }

  private Transition stay() {
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
