package io.nutmegseam.node.control;

import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.backend.Engine;
import io.nutmegseam.core.backend.Inventory;
import io.nutmegseam.core.backend.LoadReport;
import io.nutmegseam.core.backend.Order;
import io.nutmegseam.core.coldstart.Demand;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.memory.MemoryLedger;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * State of one backend server as this node observes it: the inventory, the memory ledger, and the
 * orders of this node that are in flight. While the node does not own the server, it may observe
 * the server but sends it no order. Confined to the control thread.
 */
final class OwnedServer {
  private final NodeContext context;
  private final BackendServerRecord server;
  private final Engine engine;
  private final Runnable onChange;
  private final UsageTracker usageTracker = new UsageTracker();
  private final DemandTracker demands = new DemandTracker();
  private final Set<String> ordersInFlight = new HashSet<>();
  private MemoryLedger ledger;
  private boolean ledgerSettled;
  private boolean polling;
  private boolean reachable;
  private boolean engineLeaving;
  private Set<String> cachedUnits = Set.of();
  private String engineIncarnation = "";
  private LoadReport report = LoadReport.idle();
  private long sequence;

  OwnedServer(NodeContext context, BackendServerRecord server, Engine engine, Runnable onChange) {
    this.context = context;
    this.server = server;
    this.engine = engine;
    this.onChange = onChange;
    this.ledger = MemoryLedger.of(server.memoryBytes());
  }

  /** The inventory and the load report that one poll of the engine has read. */
  private record PollResult(Inventory inventory, LoadReport report) {}

  BackendServerRecord record() {
    return server;
  }

  Engine engine() {
    return engine;
  }

  MemoryLedger ledger() {
    return ledger;
  }

  UsageTracker usageTracker() {
    return usageTracker;
  }

  LoadReport report() {
    return report;
  }

  boolean hasOrdersInFlight() {
    return !ordersInFlight.isEmpty();
  }

  /**
   * Returns whether an inventory was received since the last reset of the ledger and since the
   * engine last rejected an order because of its fencing number.
   */
  boolean isLedgerSettled() {
    return ledgerSettled;
  }

  boolean isReachable() {
    return reachable;
  }

  /** Returns whether the server has cached a unit, so that its load needs no weight transfer. */
  boolean hasCached(String unit) {
    return cachedUnits.contains(unit);
  }

  /**
   * Clears the ledger and reads the inventory; no order is sent before an inventory is received.
   */
  void resetLedger() {
    ledger = MemoryLedger.of(server.memoryBytes());
    ledgerSettled = false;
    poll();
  }

  void onDemand(String node, Demand demand) {
    demands.put(node, demand, context.nowMillis());
  }

  Map<String, Demand> demands() {
    return demands.merged(context.nowMillis());
  }

  ServerView view(long epoch) {
    Set<String> loading = new HashSet<>(ledger.units(MemoryLedger.State.RESERVED));
    return new ServerView(
        server.name(),
        epoch,
        sequence,
        reachable,
        engineLeaving,
        ledger.units(MemoryLedger.State.LOADED),
        loading,
        engineIncarnation);
  }

  /** Reads the inventory if loads or unloads are pending, since it may show their outcome. */
  void pollIfChanging() {
    boolean changing =
        !ledger.units(MemoryLedger.State.RESERVED).isEmpty()
            || !ledger.units(MemoryLedger.State.UNLOADING).isEmpty();
    if (changing) {
      poll();
    }
  }

  /** Starts to read the inventory and the load report, unless a read is in flight. */
  void poll() {
    if (polling) {
      return;
    }
    polling = true;
    long requestedAtMillis = context.nowMillis();
    context
        .thread()
        .callAsync(
            () -> new PollResult(engine.inventory(), engine.loadReport()),
            (result, error) -> onPolled(result, error, requestedAtMillis));
  }

  private void onPolled(PollResult result, Exception error, long requestedAtMillis) {
    polling = false;
    if (error != null) {
      updateReachable(false);
      return;
    }
    MemoryLedger before = ledger;
    boolean wasLeaving = engineLeaving;
    Inventory inventory = result.inventory();
    ledger =
        ledger.reconcile(inventory, requestedAtMillis, context.settings().timing().settleMillis());
    ledgerSettled = true;
    report = result.report();
    engineLeaving = inventory.leaving();
    cachedUnits = inventory.cachedUnits();
    usageTracker.onReport(report, ledger.units(MemoryLedger.State.LOADED), context.nowMillis());
    updateReachable(true);
    boolean restarted = !engineIncarnation.equals(inventory.incarnation());
    engineIncarnation = inventory.incarnation();
    if (wasLeaving != engineLeaving) {
      context
          .events()
          .record(
              EventKind.SERVER_LEAVING, server.name(), "engine reports leaving: " + engineLeaving);
    }
    if (restarted || wasLeaving != engineLeaving || !sameUnits(before, ledger)) {
      recordUnitChanges(before, ledger);
      publishState();
    }
  }

  private void updateReachable(boolean reachableNow) {
    if (reachable != reachableNow) {
      reachable = reachableNow;
      if (!reachableNow) {
        context.events().record(EventKind.SERVER_UNREACHABLE, server.name(), "");
      }
      publishState();
    }
  }

  private static boolean sameUnits(MemoryLedger one, MemoryLedger other) {
    for (MemoryLedger.State state : MemoryLedger.State.values()) {
      if (!one.units(state).equals(other.units(state))) {
        return false;
      }
    }
    return true;
  }

  private void recordUnitChanges(MemoryLedger before, MemoryLedger after) {
    Set<String> loaded = new HashSet<>(after.units(MemoryLedger.State.LOADED));
    loaded.removeAll(before.units(MemoryLedger.State.LOADED));
    loaded.forEach(unit -> context.events().record(EventKind.LOAD_DONE, unit, server.name()));
    for (String unit : before.units(MemoryLedger.State.UNLOADING)) {
      if (after.entry(unit).isEmpty()) {
        context.events().record(EventKind.UNLOAD_DONE, unit, server.name());
      }
    }
    for (String unit : before.units(MemoryLedger.State.RESERVED)) {
      if (after.entry(unit).isEmpty()) {
        context
            .events()
            .record(
                EventKind.LOAD_FAILED,
                unit,
                server.name() + " does not list the unit in its inventory");
      }
    }
  }

  /** Reserves memory and orders a load; returns false if the unit has an entry or does not fit. */
  boolean orderLoad(Order order) {
    var reserved = ledger.reserve(order.unit(), order.memoryBytes(), context.nowMillis());
    if (reserved.isEmpty()) {
      return false;
    }
    ledger = reserved.get();
    context
        .events()
        .record(EventKind.LOAD_ORDERED, order.unit(), server.name() + ", epoch " + order.epoch());
    sendOrder(order, () -> engine.load(order), true);
    publishState();
    return true;
  }

  /** Orders an unload; the reason goes to the event log. */
  void orderUnload(Order order, String reason) {
    ledger = ledger.markUnloading(order.unit(), context.nowMillis());
    context
        .events()
        .record(EventKind.UNLOAD_ORDERED, order.unit(), server.name() + ", reason: " + reason);
    sendOrder(order, () -> engine.unload(order), false);
    publishState();
  }

  /** A control call to an engine. */
  private interface EngineCall {
    void run() throws BackendException;
  }

  private void sendOrder(Order order, EngineCall call, boolean load) {
    ordersInFlight.add(order.unit());
    context
        .thread()
        .callAsync(
            () -> {
              call.run();
              return order;
            },
            (done, error) -> onOrderCompleted(order, error, load));
  }

  private void onOrderCompleted(Order order, Exception error, boolean load) {
    ordersInFlight.remove(order.unit());
    if (error instanceof BackendException failure) {
      onOrderFailed(order, failure, load);
    }
    poll();
  }

  private void onOrderFailed(Order order, BackendException failure, boolean load) {
    String detail = server.name() + ": " + failure.getMessage();
    if (load && failure.provedNotRun()) {
      ledger = ledger.cancelReservation(order.unit());
      context.events().record(EventKind.LOAD_FAILED, order.unit(), detail);
    } else {
      context.events().record(EventKind.ORDER_AMBIGUOUS, order.unit(), detail);
    }
    if (failure.outcome() == BackendException.Outcome.FENCED) {
      ledgerSettled = false;
    }
    publishState();
  }

  /** Publishes the current state again, so that it supersedes that of another observer. */
  void republish() {
    publishState();
  }

  /**
   * Publishes the current state with a higher sequence number. Sequence numbers follow the wall
   * clock, so that of two observers with the same epoch the later one wins.
   */
  private void publishState() {
    sequence = Math.max(sequence + 1, context.wall().millis());
    onChange.run();
  }
}
