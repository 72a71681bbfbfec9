package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Follows the orders to one server: what it holds, and which order is not yet known to be done.
 * Each order bears the order count that the server must have, so of two orders with the same count
 * one fails at the server, also if it arrives seconds late. Confined to one thread.
 */
public final class OrderTracker {
  /** A report shows the server as it was up to this long ago. */
  private static final long REPORT_LAG_MILLIS = 250;

  /** Time between tries of an order that waits for the one before it. */
  private static final long AGAIN_MILLIS = 80;

  /** An order that is refused for longer than this is given up. */
  private static final long GIVE_UP_MILLIS = 3_000;

  /** An order without an answer that has not shown by now did not arrive, or will arrive late. */
  private static final long UNANSWERED_MILLIS = 1_200;

  /** A load from disk or memory counts as done this long after its expected time. */
  private static final long LOAD_MARGIN_MILLIS = 30;

  /** What was concluded from answers alone is checked by a report after this time. */
  private static final long AUDIT_MILLIS = 1_500;

  /** An order without an answer may be carried out up to this long after it was sent. */
  private static final long LATE_MILLIS = 14_000;

  private Inventory inventory;
  private Phase phase = Phase.NONE;
  private ModelOrder order;
  private boolean followsUnload;
  private long sentMillis;
  private long firstSentMillis;
  private long expectedMillis;
  private long dueMillis;
  private long nextMillis;
  private long auditAtMillis = Long.MAX_VALUE;
  private long lateUntilMillis = Long.MIN_VALUE;

  private enum Phase {
    NONE,
    SENT,
    ACCEPTED,
    REFUSED,
    UNANSWERED
  }

  /** What to do for a server. */
  public enum NextStep {
    /** Nothing. */
    WAIT,
    /** Send the pending order once more. */
    SEND_AGAIN,
    /** Ask the server what it holds. */
    ASK
  }

  /**
   * Creates a tracker.
   *
   * @param reported what the server reports, with its order count
   */
  public OrderTracker(Inventory reported) {
    this.inventory = reported;
  }

  /** Returns what the server holds, as far as answers and reports tell. */
  public Inventory inventory() {
    return inventory;
  }

  /** Returns the order that is not yet known to be done. */
  public Optional<ModelOrder> pending() {
    return phase == Phase.NONE ? Optional.empty() : Optional.of(order);
  }

  /** Returns the monotonic time at which the pending order should be done. */
  public long pendingUntilMillis() {
    return phase == Phase.NONE ? 0 : dueMillis;
  }

  /** Returns the monotonic time at which the pending order was last sent. */
  public long pendingSentMillis() {
    return sentMillis;
  }

  /**
   * Returns whether the next order may be sent although an accepted unload has not been seen to be
   * done: the server refuses it until then.
   */
  public boolean isFollowUpAllowed() {
    return phase == Phase.ACCEPTED
        && order.operation() == ModelOrder.Operation.UNLOAD
        && !order.ref().isAdapter();
  }

  /**
   * Notes an order that is sent.
   *
   * @param sent the order
   * @param takesMillis expected time to carry it out
   * @param nowMillis monotonic time
   */
  public void onSent(ModelOrder sent, long takesMillis, long nowMillis) {
    followsUnload = isFollowUpAllowed();
    if (followsUnload) {
      apply(order);
    }
    order = sent;
    phase = Phase.SENT;
    sentMillis = nowMillis;
    firstSentMillis = nowMillis;
    expectedMillis = takesMillis;
    dueMillis = nowMillis + takesMillis;
    nextMillis = Long.MAX_VALUE;
  }

  /** Notes that the pending order is sent once more. */
  public void onResent(long nowMillis) {
    phase = Phase.SENT;
    sentMillis = nowMillis;
    dueMillis = nowMillis + expectedMillis;
    nextMillis = Long.MAX_VALUE;
  }

  /** Takes the server's answer to the pending order. */
  public void onResponse(OrderResponse answer, long nowMillis) {
    if (phase != Phase.SENT) {
      return;
    }
    switch (answer) {
      case ACCEPTED -> onAccepted(nowMillis);
      case HOLDS -> onHolds(nowMillis);
      case CONFLICT -> onConflict(nowMillis);
      case REJECTED -> {
        phase = Phase.REFUSED;
        nextMillis = nowMillis;
      }
      default -> throw new IllegalArgumentException("unknown answer " + answer);
    }
  }

  /** Notes that the pending order got no answer. */
  public void onNoResponse(long nowMillis) {
    if (phase == Phase.SENT) {
      phase = Phase.UNANSWERED;
      lateUntilMillis = nowMillis + LATE_MILLIS;
      nextMillis = nowMillis;
    }
  }

  /** Takes what the server reports; an older report than what is known is passed over. */
  public void onReport(Inventory reported, long nowMillis) {
    nextMillis = nowMillis + REPORT_LAG_MILLIS;
    if (reported.orderCount() < inventory.orderCount()) {
      return;
    }
    boolean taken = reported.orderCount() > inventory.orderCount();
    inventory = reported;
    auditAtMillis = nowMillis < lateUntilMillis ? nowMillis + AUDIT_MILLIS : Long.MAX_VALUE;
    boolean done = phase == Phase.ACCEPTED && !reported.busy();
    // Which order was taken cannot be told: an earlier one may have arrived late.
    boolean known = taken || nowMillis - sentMillis > UNANSWERED_MILLIS;
    if (done || phase == Phase.REFUSED || (phase == Phase.UNANSWERED && known)) {
      phase = Phase.NONE;
    }
  }

  /** Returns what to do now. */
  public NextStep next(long nowMillis) {
    boolean fastLoad =
        phase == Phase.ACCEPTED
            && order.operation() == ModelOrder.Operation.LOAD
            && !order.isStoreLoad();
    if (fastLoad && nowMillis >= dueMillis + LOAD_MARGIN_MILLIS) {
      apply(order);
      settle(nowMillis);
      return NextStep.WAIT;
    }
    if (phase == Phase.SENT || fastLoad) {
      return NextStep.WAIT;
    }
    if (phase == Phase.NONE) {
      boolean unsure = inventory.busy() || nowMillis >= auditAtMillis;
      return unsure && nowMillis >= nextMillis ? NextStep.ASK : NextStep.WAIT;
    }
    if (nowMillis < nextMillis) {
      return NextStep.WAIT;
    }
    boolean again = phase == Phase.REFUSED && followsUnload;
    if (again && nowMillis - firstSentMillis < GIVE_UP_MILLIS) {
      return NextStep.SEND_AGAIN;
    }
    return NextStep.ASK;
  }

  /** Notes that the server is being asked, so that it is not asked twice. */
  public void onReportRequested() {
    nextMillis = Long.MAX_VALUE;
  }

  /** Notes that the server did not answer the question. */
  public void onNoReport(long nowMillis) {
    nextMillis = nowMillis + REPORT_LAG_MILLIS;
  }

  private void onAccepted(long nowMillis) {
    phase = Phase.ACCEPTED;
    dueMillis = nowMillis + expectedMillis;
    inventory = withCount(inventory, inventory.orderCount() + 1);
    if (order.ref().isAdapter()) {
      apply(order);
      settle(nowMillis);
    } else {
      nextMillis = Math.max(dueMillis, nowMillis + REPORT_LAG_MILLIS);
    }
  }

  private void onHolds(long nowMillis) {
    boolean adapterUnload =
        order.ref().isAdapter() && order.operation() == ModelOrder.Operation.UNLOAD;
    if (adapterUnload) {
      inventory = withCount(inventory, inventory.orderCount() + 1);
      apply(order);
      settle(nowMillis);
    } else {
      phase = Phase.REFUSED;
      followsUnload = false;
      nextMillis = nowMillis + REPORT_LAG_MILLIS;
    }
  }

  private void onConflict(long nowMillis) {
    phase = Phase.REFUSED;
    nextMillis = nowMillis + (followsUnload ? AGAIN_MILLIS : REPORT_LAG_MILLIS);
  }

  private void settle(long nowMillis) {
    phase = Phase.NONE;
    nextMillis = nowMillis;
    auditAtMillis = nowMillis + AUDIT_MILLIS;
  }

  /** Changes the inventory as an order does that is carried out. */
  private void apply(ModelOrder done) {
    Map<String, Set<String>> adapters = new HashMap<>();
    inventory.adaptersByModel().forEach((model, held) -> adapters.put(model, new HashSet<>(held)));
    Set<String> inMemory = new HashSet<>(inventory.inHostMemory());
    Set<String> onDisk = new HashSet<>(inventory.onDisk());
    ModelRef ref = done.ref();
    boolean load = done.operation() == ModelOrder.Operation.LOAD;
    if (ref.isAdapter()) {
      Set<String> held = adapters.computeIfAbsent(ref.model(), m -> new HashSet<>());
      if (load) {
        held.add(ref.adapter());
      } else {
        held.remove(ref.adapter());
      }
    } else if (load) {
      adapters.putIfAbsent(ref.model(), Set.of());
      inMemory.add(ref.model());
      onDisk.add(ref.model());
    } else {
      adapters.remove(ref.model());
    }
    inventory = new Inventory(inventory.orderCount(), false, adapters, inMemory, onDisk);
  }

  private static Inventory withCount(Inventory from, long count) {
    return new Inventory(
        count, from.busy(), from.adaptersByModel(), from.inHostMemory(), from.onDisk());
  }
}
