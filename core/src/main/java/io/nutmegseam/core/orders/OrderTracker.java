package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Tracks the inventory of one server and the order to it whose completion is not confirmed. Each
 * order carries the order count that the server must have, so the server refuses one of two orders
 * with the same count, even if that order arrives seconds late. Confined to one thread.
 */
public final class OrderTracker {
  /** Maximum age of the server state that a report shows. */
  private static final long REPORT_LAG_MILLIS = 250;

  /**
   * Time between attempts of an order that the server refuses until the preceding one completes.
   */
  private static final long RETRY_INTERVAL_MILLIS = 80;

  /** An order is not sent again later than this after it was first sent. */
  private static final long RETRY_TIMEOUT_MILLIS = 3_000;

  /** A load from disk or host memory counts as done this long after its expected completion. */
  private static final long LOAD_MARGIN_MILLIS = 30;

  /** State that was inferred from responses alone is verified by a report after this time. */
  private static final long VERIFY_DELAY_MILLIS = 1_500;

  private final TrackedInventory tracked;
  private final LateOrders lateOrders;
  private Phase phase = Phase.NONE;
  private ModelOrder pendingOrder;
  private boolean followsUnload;

  /** Whether the pending order was sent without a response, so that it may be carried out. */
  private boolean outcomeUnknown;

  /** Whether an earlier order may be carried out in place of the pending one. */
  private boolean earlierOrderMayArrive;

  private boolean responds = true;

  /** The order count of the server when the last order was first sent. */
  private long sentOrderCount;

  private long sentMillis;
  private long firstSentMillis;
  private long expectedDurationMillis;
  private long dueMillis;
  private long nextStepMillis;
  private long verifyAtMillis = Long.MAX_VALUE;

  private enum Phase {
    NONE,
    SENT,
    ACCEPTED,
    REFUSED,
    /** Sent without a response; a report has to show what became of it. */
    UNANSWERED,
    /** Not accepted by the time of the last report; to be sent again. */
    RETRY
  }

  /** The next step for a server. */
  public enum NextStep {
    /** Do nothing. */
    WAIT,
    /** Send the pending order again. */
    SEND_AGAIN,
    /** Request a report of the inventory from the server. */
    ASK
  }

  /**
   * Creates a tracker without a pending order.
   *
   * @param reported inventory that the server reported, with its order count
   */
  public OrderTracker(Inventory reported) {
    this(reported, Long.MIN_VALUE / 2);
  }

  /**
   * Creates a tracker for a server to which an earlier holder of the order lease may have sent
   * orders.
   *
   * @param reported inventory that the server reported, with its order count
   * @param earlierHolderEndMillis monotonic time at which that holder has sent its last order, at
   *     the latest
   */
  public OrderTracker(Inventory reported, long earlierHolderEndMillis) {
    this.tracked = new TrackedInventory(reported);
    this.lateOrders = new LateOrders(earlierHolderEndMillis);
  }

  /**
   * Returns the inventory of the server, as known from responses and reports, with the adapters
   * that are being unloaded, as they take room.
   */
  public Inventory inventory() {
    return tracked.current();
  }

  /** Returns the inventory without the adapters that are being unloaded. */
  public Inventory servableInventory() {
    return tracked.servable();
  }

  /** Returns the adapters whose unload the server has accepted and not completed. */
  public Set<ModelRef> unloadingAdapters() {
    return tracked.unloadingAdapters();
  }

  /** Returns the order whose completion is not confirmed, or empty if there is none. */
  public Optional<ModelOrder> pending() {
    return phase == Phase.NONE ? Optional.empty() : Optional.of(pendingOrder);
  }

  /** Returns the monotonic time at which the pending order should complete; 0 without one. */
  public long pendingUntilMillis() {
    return phase == Phase.NONE ? 0 : dueMillis;
  }

  /** Returns whether the server is known to carry out the pending order. */
  public boolean isAccepted() {
    return phase == Phase.ACCEPTED;
  }

  /**
   * Returns whether the server may have begun to carry out the last order: it has accepted an order
   * since that one was first sent.
   */
  boolean mayHaveBegun() {
    return inventory().orderCount() > sentOrderCount;
  }

  /** Returns the monotonic time at which the pending order was last sent. */
  public long pendingSentMillis() {
    return sentMillis;
  }

  /**
   * Returns the monotonic time until which a load from the weight store whose order got no response
   * may begin; {@code Long.MIN_VALUE} if there is none.
   */
  public long lateStoreLoadUntilMillis() {
    return lateOrders.storeLoadUntilMillis();
  }

  /**
   * Returns whether the next order may be sent before the completion of an accepted unload is
   * confirmed. The server refuses that order until the unload completes.
   */
  public boolean isFollowUpAllowed() {
    return phase == Phase.ACCEPTED && !isLoad() && !pendingOrder.ref().isAdapter();
  }

  /**
   * Records that an order is sent, which becomes the pending order.
   *
   * @param sent the order
   * @param durationMillis expected time to carry it out
   * @param nowMillis monotonic time
   */
  public void onSent(ModelOrder sent, long durationMillis, long nowMillis) {
    followsUnload = isFollowUpAllowed();
    if (followsUnload) {
      tracked.onDone(pendingOrder);
    }
    pendingOrder = sent;
    sentOrderCount = inventory().orderCount();
    outcomeUnknown = false;
    earlierOrderMayArrive = lateOrders.mayArrive(nowMillis);
    phase = Phase.SENT;
    sentMillis = nowMillis;
    firstSentMillis = nowMillis;
    expectedDurationMillis = durationMillis;
    dueMillis = nowMillis + durationMillis;
    nextStepMillis = Long.MAX_VALUE;
  }

  /**
   * Continues with a load that an earlier tenure of the order lease ordered; nothing changes if the
   * server has loaded the model.
   *
   * @param order the order of the load
   * @param load the load
   * @param nowMillis monotonic time
   */
  public void onResumed(ModelOrder order, StoreLoadState.LoadInFlight load, long nowMillis) {
    if (inventory().hasLoaded(order.ref())) {
      return;
    }
    pendingOrder = order;
    sentOrderCount = inventory().orderCount() - 1;
    phase = Phase.ACCEPTED;
    sentMillis = load.startMillis();
    firstSentMillis = load.startMillis();
    expectedDurationMillis = load.uncontendedMillis();
    dueMillis = load.startMillis() + load.uncontendedMillis();
    // Only reports tell whether the server carries out this order or another one.
    nextStepMillis = nowMillis + REPORT_LAG_MILLIS;
  }

  /** Records that the pending order is sent again. */
  public void onResent(long nowMillis) {
    phase = Phase.SENT;
    sentMillis = nowMillis;
    dueMillis = nowMillis + expectedDurationMillis;
    nextStepMillis = Long.MAX_VALUE;
  }

  /** Applies the response of the server to the pending order. */
  public void onResponse(OrderResponse response, long nowMillis) {
    if (phase != Phase.SENT) {
      return;
    }
    switch (response) {
      case ACCEPTED -> onAccepted(nowMillis);
      case HOLDS -> onStateAlreadyReached(nowMillis);
      case CONFLICT -> onConflict(nowMillis);
      case REJECTED -> {
        phase = Phase.REFUSED;
        nextStepMillis = nowMillis + (followsUnload ? RETRY_INTERVAL_MILLIS : 0);
      }
      default -> throw new IllegalArgumentException("unknown response " + response);
    }
  }

  /** Records that the pending order has not reached the server. */
  public void onNotSent(long nowMillis) {
    if (phase != Phase.SENT) {
      return;
    }
    if (followsUnload) {
      onConflict(nowMillis);
    } else {
      phase = Phase.NONE;
      responds = false;
      nextStepMillis = nowMillis + REPORT_LAG_MILLIS;
    }
  }

  /** Returns whether the server has sent a report since it was last not reached by an order. */
  public boolean responds() {
    return responds;
  }

  /** Records that the pending order got no response, so its outcome is unknown. */
  public void onNoResponse(long nowMillis) {
    if (phase == Phase.SENT) {
      phase = Phase.UNANSWERED;
      outcomeUnknown = true;
      lateOrders.onNoResponse(pendingOrder, nowMillis);
      nextStepMillis = nowMillis;
    }
  }

  /** Applies a report of the server; ignores one with a lower order count than the tracked one. */
  public void onReport(Inventory reported, long nowMillis) {
    nextStepMillis = nowMillis + REPORT_LAG_MILLIS;
    responds = true;
    OptionalLong accepted = tracked.onReport(reported, nowMillis);
    if (accepted.isEmpty()) {
      return;
    }
    long acceptedOrders = accepted.getAsLong();
    if (acceptedOrders > 0) {
      lateOrders.forget();
    }
    verifyAtMillis =
        lateOrders.mayArrive(nowMillis) ? nowMillis + VERIFY_DELAY_MILLIS : Long.MAX_VALUE;
    phase = phaseAfterReport(acceptedOrders, nowMillis);
  }

  private Phase phaseAfterReport(long acceptedOrders, long nowMillis) {
    if (phase == Phase.ACCEPTED) {
      return inventory().busy() ? Phase.ACCEPTED : Phase.NONE;
    }
    if (phase != Phase.REFUSED && phase != Phase.UNANSWERED) {
      return phase;
    }
    // The count does not tell the pending order from an earlier one that has arrived late.
    if (acceptedOrders == 1 && outcomeUnknown && !earlierOrderMayArrive) {
      if (isAdapterUnload()) {
        tracked.onUnloading(pendingOrder.ref());
      } else if (inventory().busy() && !pendingOrder.ref().isAdapter()) {
        dueMillis = nowMillis + expectedDurationMillis;
        nextStepMillis = Math.max(dueMillis, nowMillis + REPORT_LAG_MILLIS);
        return Phase.ACCEPTED;
      }
    }
    // Sent again with the same count, an order is carried out once, whichever arrives first.
    boolean resend =
        acceptedOrders == 0
            && phase == Phase.UNANSWERED
            && nowMillis - firstSentMillis < RETRY_TIMEOUT_MILLIS;
    return resend ? Phase.RETRY : Phase.NONE;
  }

  private boolean isAdapterUnload() {
    return pendingOrder.ref().isAdapter() && !isLoad();
  }

  private boolean isLoad() {
    return pendingOrder.operation() == ModelOrder.Operation.LOAD;
  }

  /** Returns the next step; marks a load from disk or host memory as done when it is due. */
  public NextStep next(long nowMillis) {
    boolean fastLoad = phase == Phase.ACCEPTED && isLoad() && !pendingOrder.isStoreLoad();
    if (fastLoad && nowMillis >= dueMillis + LOAD_MARGIN_MILLIS) {
      tracked.onDone(pendingOrder);
      markDone(nowMillis);
      return NextStep.WAIT;
    }
    if (phase == Phase.SENT || fastLoad) {
      return NextStep.WAIT;
    }
    if (phase == Phase.RETRY) {
      return NextStep.SEND_AGAIN;
    }
    if (phase == Phase.NONE) {
      boolean reportNeeded =
          inventory().busy()
              || !responds
              || !unloadingAdapters().isEmpty()
              || nowMillis >= verifyAtMillis;
      return reportNeeded && nowMillis >= nextStepMillis ? NextStep.ASK : NextStep.WAIT;
    }
    if (nowMillis < nextStepMillis) {
      return NextStep.WAIT;
    }
    boolean retry = phase == Phase.REFUSED && followsUnload;
    if (retry && nowMillis - firstSentMillis < RETRY_TIMEOUT_MILLIS) {
      return NextStep.SEND_AGAIN;
    }
    return NextStep.ASK;
  }

  /** Records that a report is requested, so that no second request is sent meanwhile. */
  public void onReportRequested() {
    nextStepMillis = Long.MAX_VALUE;
  }

  /** Records that the server did not send the requested report. */
  public void onNoReport(long nowMillis) {
    nextStepMillis = nowMillis + REPORT_LAG_MILLIS;
  }

  private void onAccepted(long nowMillis) {
    phase = Phase.ACCEPTED;
    dueMillis = nowMillis + expectedDurationMillis;
    tracked.onAccepted();
    lateOrders.forget();
    if (isAdapterUnload()) {
      // It waits for the runs of the adapter; only a report tells when its room is free.
      tracked.onUnloading(pendingOrder.ref());
      markDone(nowMillis);
      nextStepMillis = nowMillis + REPORT_LAG_MILLIS;
    } else if (pendingOrder.ref().isAdapter()) {
      tracked.onDone(pendingOrder);
      markDone(nowMillis);
    } else {
      nextStepMillis = Math.max(dueMillis, nowMillis + REPORT_LAG_MILLIS);
    }
  }

  private void onStateAlreadyReached(long nowMillis) {
    if (isAdapterUnload() && !lateOrders.mayArrive(nowMillis)) {
      tracked.onNotLoaded(pendingOrder, nowMillis);
      markDone(nowMillis);
    } else {
      phase = Phase.REFUSED;
      followsUnload = false;
      nextStepMillis = nowMillis + REPORT_LAG_MILLIS;
    }
  }

  private void onConflict(long nowMillis) {
    tracked.onOtherOrderCount();
    phase = Phase.REFUSED;
    nextStepMillis = nowMillis + (followsUnload ? RETRY_INTERVAL_MILLIS : REPORT_LAG_MILLIS);
  }

  private void markDone(long nowMillis) {
    phase = Phase.NONE;
    nextStepMillis = nowMillis;
    verifyAtMillis = nowMillis + VERIFY_DELAY_MILLIS;
  }
}
