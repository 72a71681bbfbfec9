package io.nutmegseam.node.control;

import io.nutmegseam.core.backend.Order;
import io.nutmegseam.core.coldstart.Demand;
import io.nutmegseam.core.coldstart.EvictionPolicy;
import io.nutmegseam.core.coldstart.LoadOrderPolicy;
import io.nutmegseam.core.coldstart.LoadScheduler;
import io.nutmegseam.core.coldstart.SchedulingDecision;
import io.nutmegseam.core.coldstart.UnitUsage;
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

/**
 * Orders the loads and unloads of the backend servers that this node owns, and requests the permits
 * of the weight-store budget that the loads need.
 */
final class LoadControl {
  private static final long EXPECTED_ADAPTER_LOAD_MILLIS = 100;

  private final NodeContext context;
  private final PermitClient permits;
  private final Set<String> neededPermitIds = new HashSet<>();

  LoadControl(NodeContext context, PermitClient permits) {
    this.context = context;
    this.permits = permits;
  }

  /**
   * Inputs of the decision on the orders of one server.
   *
   * @param catalog the active records
   * @param placements the placements as last read
   * @param leaving whether the server is leaving, so that it gets no new loads
   * @param epoch the owner's epoch, which fences the orders
   */
  record Inputs(Catalog catalog, Placements placements, boolean leaving, long epoch) {}

  /** Begins a round: {@link #sendOrders} for each owned server, then {@link #endRound}. */
  void beginRound() {
    neededPermitIds.clear();
  }

  /** Ends a round; releases the permits that no owned server needs any more. */
  void endRound(Collection<OwnedServer> owned, PolicyRecord policy) {
    Set<String> loading = new HashSet<>();
    for (OwnedServer server : owned) {
      for (String unit : server.ledger().units(MemoryLedger.State.RESERVED)) {
        loading.add(permitId(server, unit));
      }
    }
    permits.releaseUnneeded(loading::contains, neededPermitIds::contains, policy.transferMillis());
  }

  /** Orders unloads and loads at one server, if it is reachable and its inventory is known. */
  void sendOrders(OwnedServer server, Inputs inputs) {
    if (!server.isLedgerSettled() || !server.isReachable()) {
      return;
    }
    orderRequiredUnloads(server, inputs);
    Map<String, Demand> demands = allowedDemands(server, inputs);
    LoadScheduler scheduler = scheduler(inputs.catalog().policy());
    Map<String, UnitUsage> usages = usages(server, inputs.catalog());
    for (SchedulingDecision.Unload unload :
        scheduler.selectIdleUnloads(
            server.ledger(), usages, demands.keySet(), context.nowMillis())) {
      server.orderUnload(order(unload.unit(), inputs), unload.reason());
    }
    if (!inputs.leaving()) {
      requestLoads(server, inputs, demands, scheduler, usages);
    }
  }

  /** Returns a server's draining slots whose models are not loaded, as its inventory proves. */
  List<Placements.VersionedRow> drainedSlots(OwnedServer server, Inputs inputs) {
    List<Placements.VersionedRow> drained = new ArrayList<>();
    for (Placements.VersionedRow slot : inputs.placements().slotsOnServer(server.record().name())) {
      boolean draining = slot.row().state() == PlacementRow.State.DRAINING;
      if (draining && isProvedUnloaded(server, slot.row().model(), inputs.catalog())) {
        drained.add(slot);
      }
    }
    return drained;
  }

  private boolean isProvedUnloaded(OwnedServer server, String model, Catalog catalog) {
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

  /**
   * Unloads units that are not placed on the server or whose base model is not loaded. Repeats an
   * unload that is still pending after the settle time, since its order may be lost.
   */
  private void orderRequiredUnloads(OwnedServer server, Inputs inputs) {
    long settleMillis = context.settings().timing().settleMillis();
    server
        .ledger()
        .entries()
        .forEach(
            (unit, entry) -> {
              boolean allowed =
                  PlacementRules.mayLoad(
                          unit, server.record(), inputs.catalog(), inputs.placements())
                      && isBaseLoaded(server, unit, inputs.catalog());
              boolean overdue =
                  entry.state() == MemoryLedger.State.UNLOADING
                      && context.nowMillis() - entry.orderedAtMillis() > settleMillis;
              boolean loaded = entry.state() == MemoryLedger.State.LOADED;
              if ((loaded && !allowed) || overdue) {
                server.orderUnload(
                    order(unit, inputs),
                    allowed ? "again" : "no placement or base model not loaded");
              }
            });
  }

  /** Returns whether the base model of a unit is loaded; a model is its own base model. */
  private static boolean isBaseLoaded(OwnedServer server, String unit, Catalog catalog) {
    Optional<ModelRecord> base = PlacementRules.baseModel(unit, catalog);
    return base.isPresent()
        && server
            .ledger()
            .entry(base.get().name())
            .filter(entry -> entry.state() == MemoryLedger.State.LOADED)
            .isPresent();
  }

  /** Returns the demand for units that the server may load and, for adapters, their base models. */
  private Map<String, Demand> allowedDemands(OwnedServer server, Inputs inputs) {
    Map<String, Demand> allowed = new HashMap<>();
    for (Demand demand : server.demands().values()) {
      Optional<ModelRecord> base = PlacementRules.baseModel(demand.unit(), inputs.catalog());
      boolean mayLoad =
          PlacementRules.mayLoad(
              demand.unit(), server.record(), inputs.catalog(), inputs.placements());
      if (base.isPresent() && mayLoad) {
        allowed.merge(demand.unit(), demand, Demand::merge);
        if (!base.get().name().equals(demand.unit())) {
          allowed.merge(base.get().name(), demand.forUnit(base.get().name()), Demand::merge);
        }
      }
    }
    return allowed;
  }

  /** Requests permits for the loads that the server needs, and orders those that may start. */
  private void requestLoads(
      OwnedServer server,
      Inputs inputs,
      Map<String, Demand> demands,
      LoadScheduler scheduler,
      Map<String, UnitUsage> usages) {
    Map<String, LoadScheduler.LoadCandidate> candidates = new HashMap<>();
    demands.values().forEach(d -> candidates.put(d.unit(), candidate(d, inputs.catalog())));
    boolean budgetEnabled = inputs.catalog().policy().storeBudget();
    for (SchedulingDecision.Load load :
        scheduler.selectLoads(candidates.values(), server.ledger(), context.nowMillis())) {
      Demand demand = load.demand();
      String id = permitId(server, demand.unit());
      boolean needsPermit = budgetEnabled && !server.hasCached(demand.unit());
      if (needsPermit) {
        neededPermitIds.add(id);
        boolean adapter = !candidates.get(demand.unit()).base().isEmpty();
        permits.request(id, adapter, demand);
      }
      if (!needsPermit || permits.isGranted(id)) {
        orderLoadOrEvictions(
            server, inputs, candidates.get(demand.unit()), demands.keySet(), scheduler, usages);
      }
    }
  }

  /** Orders a load; if the unit does not fit, orders the unloads that free memory for it. */
  private void orderLoadOrEvictions(
      OwnedServer server,
      Inputs inputs,
      LoadScheduler.LoadCandidate candidate,
      Set<String> demandedUnits,
      LoadScheduler scheduler,
      Map<String, UnitUsage> usages) {
    String unit = candidate.demand().unit();
    if (server.orderLoad(order(unit, inputs))) {
      permits.markUsed(permitId(server, unit));
      return;
    }
    for (SchedulingDecision.Unload unload :
        scheduler.selectEvictions(
            candidate, server.ledger(), usages, demandedUnits, context.nowMillis())) {
      server.orderUnload(order(unload.unit(), inputs), unload.reason());
    }
  }

  private static LoadScheduler scheduler(PolicyRecord policy) {
    return new LoadScheduler(
        LoadOrderPolicy.named(policy.loadOrder()),
        EvictionPolicy.named(policy.eviction()),
        policy.idleSecondsPerColdStartSecond(),
        policy.eviction().equals("reuse-cost"),
        policy.scaleUpWaitMillis());
  }

  private static Map<String, UnitUsage> usages(OwnedServer server, Catalog catalog) {
    Map<String, UnitUsage> usages = new HashMap<>();
    for (String unit : server.usageTracker().units()) {
      LoadScheduler.LoadCandidate candidate = candidate(Demand.none(unit), catalog);
      double share =
          (double) candidate.memoryBytes()
              / Math.max(1, server.record().memoryBytes())
              * server.record().accelerators();
      UsageTracker.UnitCost cost = new UsageTracker.UnitCost(candidate.loadMillis(), share);
      usages.put(unit, server.usageTracker().usage(unit, cost));
    }
    return usages;
  }

  private static LoadScheduler.LoadCandidate candidate(Demand demand, Catalog catalog) {
    Optional<ModelRecord> model = catalog.model(demand.unit());
    if (model.isPresent()) {
      return new LoadScheduler.LoadCandidate(
          demand, model.get().memoryBytes(), model.get().loadMillis(), "");
    }
    Optional<AdapterRecord> adapter = catalog.adapter(demand.unit());
    return new LoadScheduler.LoadCandidate(
        demand,
        adapter.map(AdapterRecord::memoryBytes).orElse(0L),
        EXPECTED_ADAPTER_LOAD_MILLIS,
        adapter.map(AdapterRecord::model).orElse(""));
  }

  private static Order order(String unit, Inputs inputs) {
    LoadScheduler.LoadCandidate candidate = candidate(Demand.none(unit), inputs.catalog());
    return new Order(unit, candidate.base(), candidate.memoryBytes(), inputs.epoch());
  }

  private static String permitId(OwnedServer server, String unit) {
    return server.record().name() + "/" + unit;
  }
}
