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
 * One backend server as this node sees it: its inventory, its memory ledger and the orders that
 * this node gave. Confined to the control thread.
 */
final class OwnedServer {
  private final NodeContext context;
  private final BackendServerRecord server;
  private final Engine engine;
  private final Runnable onChange;
  private final UsageTracker uses = new UsageTracker();
  private final DemandTracker demands = new DemandTracker();
  private final Set<String> ordersInFlight = new HashSet<>();
  private MemoryLedger ledger;
  private boolean ledgerSettled;
  private boolean polling;
  private boolean reachable;
  private boolean saysLeaving;
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

  /** What one poll of the engine found. */
  private record Polled(Inventory inventory, LoadReport report) {}

  BackendServerRecord record() {
    return server;
  }

  Engine engine() {
    return engine;
  }

  MemoryLedger ledger() {
    return ledger;
  }

  UsageTracker uses() {
    return uses;
  }

  LoadReport report() {
    return report;
  }

  boolean hasOrdersInFlight() {
    return !ordersInFlight.isEmpty();
  }

  /** Returns whether an inventory was read since the node began to own the server. */
  boolean isLedgerSettled() {
    return ledgerSettled;
  }

  boolean isReachable() {
    return reachable;
  }

  /** Returns whether a load of a unit needs no transfer from the weight store. */
  boolean hasCached(String unit) {
    return cachedUnits.contains(unit);
  }

  /** Forgets the ledger, so that no order is given before an inventory is read. */
  void restartLedger() {
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
        saysLeaving,
        ledger.units(MemoryLedger.State.LOADED),
        loading,
        engineIncarnation);
  }

  /** Reads the inventory at once if it should soon show the outcome of an order. */
  void pollIfChanging() {
    boolean changing =
        !ledger.units(MemoryLedger.State.RESERVED).isEmpty()
            || !ledger.units(MemoryLedger.State.UNLOADING).isEmpty();
    if (changing) {
      poll();
    }
  }

  /** Reads the inventory and the load report. */
  void poll() {
    if (polling) {
      return;
    }
    polling = true;
    long requestedAtMillis = context.nowMillis();
    context
        .thread()
        .call(
            () -> new Polled(engine.inventory(), engine.loadReport()),
            (polled, error) -> onPolled(polled, error, requestedAtMillis));
  }

  private void onPolled(Polled polled, Exception error, long requestedAtMillis) {
    polling = false;
    if (error != null) {
      noteReachable(false);
      return;
    }
    MemoryLedger before = ledger;
    boolean wasLeaving = saysLeaving;
    Inventory inventory = polled.inventory();
    ledger =
        ledger.settle(inventory, requestedAtMillis, context.settings().timing().settleMillis());
    ledgerSettled = true;
    report = polled.report();
    saysLeaving = inventory.leaving();
    cachedUnits = inventory.cachedUnits();
    uses.onReport(report, ledger.units(MemoryLedger.State.LOADED), context.nowMillis());
    noteReachable(true);
    boolean restarted = !engineIncarnation.equals(inventory.incarnation());
    engineIncarnation = inventory.incarnation();
    if (wasLeaving != saysLeaving) {
      context.events().record(EventKind.SERVER_LEAVING, server.name(), "engine " + saysLeaving);
    }
    if (restarted || wasLeaving != saysLeaving || !sameUnits(before, ledger)) {
      noteUnits(before, ledger);
      changed();
    }
  }

  private void noteReachable(boolean now) {
    if (reachable != now) {
      reachable = now;
      if (!now) {
        context.events().record(EventKind.SERVER_UNREACHABLE, server.name(), "");
      }
      changed();
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

  private void noteUnits(MemoryLedger before, MemoryLedger after) {
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
        context.events().record(EventKind.LOAD_FAILED, unit, server.name() + " dropped it");
      }
    }
  }

  /** Reserves the memory and orders the load; returns false if it does not fit. */
  boolean orderLoad(Order order) {
    var reserved = ledger.reserve(order.unit(), order.memoryBytes(), context.nowMillis());
    if (reserved.isEmpty()) {
      return false;
    }
    ledger = reserved.get();
    context
        .events()
        .record(EventKind.LOAD_ORDERED, order.unit(), server.name() + " epoch " + order.epoch());
    send(order, () -> engine.load(order), true);
    changed();
    return true;
  }

  /** Orders an unload. */
  void orderUnload(Order order, String reason) {
    ledger = ledger.unloading(order.unit(), context.nowMillis());
    context.events().record(EventKind.UNLOAD_ORDERED, order.unit(), server.name() + " " + reason);
    send(order, () -> engine.unload(order), false);
    changed();
  }

  /** A control call of an engine. */
  private interface EngineCall {
    void run() throws BackendException;
  }

  private void send(Order order, EngineCall call, boolean load) {
    ordersInFlight.add(order.unit());
    context
        .thread()
        .call(
            () -> {
              call.run();
              return order;
            },
            (done, error) -> onOrdered(order, error, load));
  }

  private void onOrdered(Order order, Exception error, boolean load) {
    ordersInFlight.remove(order.unit());
    if (error instanceof BackendException failure) {
      onOrderFailed(order, failure, load);
    }
    poll();
  }

  private void onOrderFailed(Order order, BackendException failure, boolean load) {
    String detail = server.name() + " " + failure.getMessage();
    if (load && failure.provedNotRun()) {
      ledger = ledger.refused(order.unit());
      context.events().record(EventKind.LOAD_FAILED, order.unit(), detail);
    } else {
      context.events().record(EventKind.ORDER_AMBIGUOUS, order.unit(), detail);
    }
    if (failure.outcome() == BackendException.Outcome.FENCED) {
      ledgerSettled = false;
    }
    changed();
  }

  /** Tells the peers again what is known, ahead of what another observer told them. */
  void announce() {
    changed();
  }

  /** Sequences follow the wall clock, so that the later of two observers of one epoch wins. */
  private void changed() {
    sequence = Math.max(sequence + 1, context.wall().millis());
    onChange.run();
  }
}
