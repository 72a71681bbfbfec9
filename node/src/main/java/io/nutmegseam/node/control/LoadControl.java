package io.nutmegseam.node.control;

import io.nutmegseam.core.backend.Order;
import io.nutmegseam.core.coldstart.Demand;
import io.nutmegseam.core.coldstart.EvictionPolicy;
import io.nutmegseam.core.coldstart.LoadOrder;
import io.nutmegseam.core.coldstart.LoadScheduler;
import io.nutmegseam.core.coldstart.OwnerDecision;
import io.nutmegseam.core.coldstart.UnitUse;
import io.nutmegseam.core.config.AdapterRecord;
import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.config.ModelRecord;
import io.nutmegseam.core.config.PolicyRecord;
import io.nutmegseam.core.memory.MemoryLedger;
import io.nutmegseam.core.placement.PlacementRow;
import io.nutmegseam.core.placement.PlacementRules;
import io.nutmegseam.core.placement.Placements;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Gives the orders of one owned backend server: loads for waiting requests, and unloads. */
final class LoadControl {
  private static final long ADAPTER_LOAD_MILLIS = 100;

  private final NodeContext context;
  private final PermitClient permits;
  private final Set<String> wantedIds = new HashSet<>();

  LoadControl(NodeContext context, PermitClient permits) {
    this.context = context;
    this.permits = permits;
  }

  /**
   * What decides about orders.
   *
   * @param catalog the records in force
   * @param placements the placements as last read
   * @param leaving whether the server gets no new work
   * @param epoch fencing number of the orders
   */
  record Grounds(Catalog catalog, Placements placements, boolean leaving, long epoch) {}

  /** Begins a round over all owned servers. */
  void beginRound() {
    wantedIds.clear();
  }

  /** Gives back the permits that no server wants any more. */
  void endRound(Collection<OwnedServer> owned, PolicyRecord policy) {
    Set<String> loading = new HashSet<>();
    for (OwnedServer server : owned) {
      for (String unit : server.ledger().units(MemoryLedger.State.RESERVED)) {
        loading.add(permitId(server, unit));
      }
    }
    permits.releaseAll(loading::contains, wantedIds::contains, policy.transferMillis());
  }

  /** Gives the orders of one server. */
  void round(OwnedServer server, Grounds grounds) {
    if (!server.isLedgerSettled() || !server.isReachable()) {
      return;
    }
    unloadDisallowed(server, grounds);
    Map<String, Demand> demands = allowedDemands(server, grounds);
    LoadScheduler scheduler = scheduler(grounds.catalog().policy());
    Map<String, UnitUse> uses = uses(server, grounds.catalog());
    for (OwnerDecision.Unload unload :
        scheduler.idleUnloads(server.ledger(), uses, demands.keySet(), context.nowMillis())) {
      server.orderUnload(order(unload.unit(), grounds), unload.reason());
    }
    if (!grounds.leaving()) {
      load(server, grounds, demands, scheduler, uses);
    }
  }

  /** Returns the draining slots whose model is proved not to be loaded on the server. */
  List<Placements.VersionedRow> drainedSlots(OwnedServer server, Grounds grounds) {
    List<Placements.VersionedRow> drained = new ArrayList<>();
    for (Placements.VersionedRow placed :
        grounds.placements().slotsOnServer(server.record().name())) {
      boolean draining = placed.row().state() == PlacementRow.State.DRAINING;
      if (draining && isProvedGone(server, placed.row().model(), grounds.catalog())) {
        drained.add(placed);
      }
    }
    return drained;
  }

  private boolean isProvedGone(OwnedServer server, String model, Catalog catalog) {
    if (!server.isLedgerSettled() || !server.isReachable()) {
      return false;
    }
    return server.ledger().entries().keySet().stream()
        .noneMatch(
            unit -> {
              Optional<ModelRecord> base = PlacementRules.baseModel(unit, catalog);
              return unit.equals(model) || base.isEmpty() || base.get().name().equals(model);
            });
  }

  private void unloadDisallowed(OwnedServer server, Grounds grounds) {
    long settleMillis = context.settings().timing().settleMillis();
    server
        .ledger()
        .entries()
        .forEach(
            (unit, entry) -> {
              boolean allowed =
                  PlacementRules.mayLoad(
                          unit, server.record(), grounds.catalog(), grounds.placements())
                      && hasBase(server, unit, grounds.catalog());
              boolean lost =
                  entry.state() == MemoryLedger.State.UNLOADING
                      && context.nowMillis() - entry.orderedAtMillis() > settleMillis;
              boolean loaded = entry.state() == MemoryLedger.State.LOADED;
              if ((loaded && !allowed) || lost) {
                server.orderUnload(order(unit, grounds), allowed ? "again" : "not placed here");
              }
            });
  }

  /** Returns whether a unit is a model, or an adapter whose model is in memory. */
  private static boolean hasBase(OwnedServer server, String unit, Catalog catalog) {
    Optional<ModelRecord> base = PlacementRules.baseModel(unit, catalog);
    return base.isPresent()
        && server
            .ledger()
            .entry(base.get().name())
            .filter(entry -> entry.state() == MemoryLedger.State.LOADED)
            .isPresent();
  }

  private Map<String, Demand> allowedDemands(OwnedServer server, Grounds grounds) {
    Map<String, Demand> allowed = new HashMap<>();
    for (Demand demand : server.demands().values()) {
      Optional<ModelRecord> base = PlacementRules.baseModel(demand.unit(), grounds.catalog());
      boolean mayLoad =
          PlacementRules.mayLoad(
              demand.unit(), server.record(), grounds.catalog(), grounds.placements());
      if (base.isPresent() && mayLoad) {
        allowed.merge(demand.unit(), demand, Demand::merge);
        if (!base.get().name().equals(demand.unit())) {
          allowed.merge(base.get().name(), demand.forUnit(base.get().name()), Demand::merge);
        }
      }
    }
    return allowed;
  }

  private void load(
      OwnedServer server,
      Grounds grounds,
      Map<String, Demand> demands,
      LoadScheduler scheduler,
      Map<String, UnitUse> uses) {
    Map<String, LoadScheduler.Wanted> wanted = new HashMap<>();
    demands.values().forEach(d -> wanted.put(d.unit(), wanted(d, grounds.catalog())));
    boolean budget = grounds.catalog().policy().storeBudget();
    for (OwnerDecision.WantLoad want :
        scheduler.wantedLoads(wanted.values(), server.ledger(), context.nowMillis())) {
      Demand demand = want.demand();
      String id = permitId(server, demand.unit());
      boolean needsPermit = budget && !server.hasCached(demand.unit());
      if (needsPermit) {
        wantedIds.add(id);
        boolean adapter = !wanted.get(demand.unit()).base().isEmpty();
        permits.ask(id, adapter, demand);
      }
      if (!needsPermit || permits.isGranted(id)) {
        loadNow(server, grounds, wanted.get(demand.unit()), demands.keySet(), scheduler, uses);
      }
    }
  }

  private void loadNow(
      OwnedServer server,
      Grounds grounds,
      LoadScheduler.Wanted wanted,
      Set<String> demanded,
      LoadScheduler scheduler,
      Map<String, UnitUse> uses) {
    String unit = wanted.demand().unit();
    if (server.orderLoad(order(unit, grounds))) {
      permits.use(permitId(server, unit));
      return;
    }
    for (OwnerDecision.Unload unload :
        scheduler.makeRoom(wanted, server.ledger(), uses, demanded, context.nowMillis())) {
      server.orderUnload(order(unload.unit(), grounds), unload.reason());
    }
  }

  private static LoadScheduler scheduler(PolicyRecord policy) {
    return new LoadScheduler(
        LoadOrder.named(policy.loadOrder()),
        EvictionPolicy.named(policy.eviction()),
        policy.idleSecondsPerColdStartSecond(),
        policy.eviction().equals("reuse-cost"),
        policy.scaleUpWaitMillis());
  }

  private static Map<String, UnitUse> uses(OwnedServer server, Catalog catalog) {
    Map<String, UnitUse> uses = new HashMap<>();
    for (String unit : server.uses().units()) {
      LoadScheduler.Wanted size = wanted(Demand.none(unit), catalog);
      double share =
          (double) size.memoryBytes()
              / Math.max(1, server.record().memoryBytes())
              * server.record().accelerators();
      UseTracker.UnitCost cost = new UseTracker.UnitCost(size.loadMillis(), share);
      uses.put(unit, server.uses().use(unit, cost));
    }
    return uses;
  }

  private static LoadScheduler.Wanted wanted(Demand demand, Catalog catalog) {
    Optional<ModelRecord> model = catalog.model(demand.unit());
    if (model.isPresent()) {
      return new LoadScheduler.Wanted(
          demand, model.get().memoryBytes(), model.get().loadMillis(), "");
    }
    Optional<AdapterRecord> adapter = catalog.adapter(demand.unit());
    return new LoadScheduler.Wanted(
        demand,
        adapter.map(AdapterRecord::memoryBytes).orElse(0L),
        ADAPTER_LOAD_MILLIS,
        adapter.map(AdapterRecord::model).orElse(""));
  }

  private static Order order(String unit, Grounds grounds) {
    LoadScheduler.Wanted size = wanted(Demand.none(unit), grounds.catalog());
    return new Order(unit, size.base(), size.memoryBytes(), grounds.epoch());
  }

  private static String permitId(OwnedServer server, String unit) {
    return server.record().name() + "/" + unit;
  }
}
