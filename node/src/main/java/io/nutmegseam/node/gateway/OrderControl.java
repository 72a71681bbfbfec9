package io.nutmegseam.node.gateway;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.EngineSpec;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.ServiceSpec;
import io.nutmegseam.core.orders.InventorySync;
import io.nutmegseam.core.orders.ModelDemand;
import io.nutmegseam.core.orders.ModelOrder;
import io.nutmegseam.core.orders.OrderResponse;
import io.nutmegseam.core.orders.OrderTracker;
import io.nutmegseam.core.orders.RoundPlan;
import io.nutmegseam.core.orders.ServerConduct;
import io.nutmegseam.core.orders.ServerOrderState;
import io.nutmegseam.core.orders.ServiceSnapshot;
import io.nutmegseam.core.orders.StoreCapacity;
import io.nutmegseam.core.orders.StoreLoadLimiter;
import io.nutmegseam.core.orders.StoreLoadObserver;
import io.nutmegseam.core.orders.SwapPlanner;
import io.nutmegseam.node.control.ControlThread;
import io.nutmegseam.node.rows.CallException;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;

/**
 * Plans and sends orders while this node holds the order lease, one order per server at a time.
 * Confined to the control thread.
 */
final class OrderControl {
  /** Interval of inventory requests to a server whose inventory has not been received yet. */
  private static final long FIRST_INVENTORY_INTERVAL_MILLIS = 1_000;

  private final Dependencies dependencies;
  private final InstantSource clock;
  private final EventSink events;
  private final BiConsumer<Map<Incarnation, Inventory>, Map<ModelRef, Long>> fleetUpdateSink;
  private final Map<String, SwapPlanner> plannerByService = new HashMap<>();
  private final Map<String, DeferredLoadLog> deferredLoadLogByService = new HashMap<>();
  private final StoreLoadLog storeLoadLog;
  private final StoreLoadObserver observer;
  private final ServerArrivals arrivals = new ServerArrivals();
  private final Map<Incarnation, OrderTracker> trackerByServer = new HashMap<>();
  private final Map<Incarnation, Long> inventoryRequestedMillis = new HashMap<>();
  private long fence = -1;
  private InventorySync inventorySync = new InventorySync(0);

  /** Collaborators of the control. */
  record Dependencies(
      String node,
      GatewayState state,
      LeaseControl lease,
      ServerOrders orders,
      DemandAggregator demand,
      StoreLoadLimiter storeLoads,
      ControlThread thread,
      InstantSource clock,
      EventSink events) {}

  /**
   * Creates a control that has sent no orders.
   *
   * @param dependencies collaborators of the control
   * @param fleetUpdateSink receives the inventories and the time at which each model is expected to
   *     be loaded, at each tick during a tenure
   */
  OrderControl(
      Dependencies dependencies,
      BiConsumer<Map<Incarnation, Inventory>, Map<ModelRef, Long>> fleetUpdateSink) {
    this.dependencies = dependencies;
    this.clock = dependencies.clock();
    this.events = dependencies.events();
    this.storeLoadLog = new StoreLoadLog(clock, events);
    this.observer = new StoreLoadObserver(dependencies.storeLoads());
    this.fleetUpdateSink = fleetUpdateSink;
  }

  /**
   * Plans and sends orders if the lease allows them; else discards the state of the last tenure.
   */
  void tick() {
    Optional<Long> currentFence = dependencies.lease().fence();
    Optional<GatewayConfig> config = dependencies.state().config();
    if (currentFence.isEmpty() || config.isEmpty()) {
      reset(-1);
      return;
    }
    if (currentFence.get() != fence) {
      reset(currentFence.get());
    }
    Fleet fleet = dependencies.state().fleet();
    forgetServersThatLeft(fleet);
    arrivals.update(fleet, clock.millis());
    inventoryRequestedMillis.keySet().removeIf(server -> !fleet.isCurrent(server));
    Map<ModelRef, Long> readyAtMillisByModel = new HashMap<>();
    for (ServiceSpec service : config.get().services().values()) {
      service
          .engine()
          .ifPresent(e -> readyAtMillisByModel.putAll(planService(service.name(), e, fleet)));
    }
    Map<Incarnation, Inventory> inventories = new HashMap<>();
    trackerByServer.forEach(
        (server, tracker) -> inventories.put(server, tracker.servableInventory()));
    fleetUpdateSink.accept(inventories, readyAtMillisByModel);
  }

  private void reset(long newFence) {
    if (fence != newFence) {
      if (fence >= 0) {
        dependencies.storeLoads().onAllUntracked(clock.millis());
      }
      dependencies.storeLoads().onUnknownLoads(0, clock.millis());
      fence = newFence;
      inventorySync = new InventorySync(clock.millis());
      trackerByServer.forEach(
          (server, tracker) -> storeLoadLog.onForgotten(server, tracker, "tenure ended"));
      trackerByServer.clear();
      inventoryRequestedMillis.clear();
      plannerByService.values().forEach(SwapPlanner::reset);
    }
  }

  private void forgetServersThatLeft(Fleet fleet) {
    List<Incarnation> left =
        trackerByServer.keySet().stream().filter(server -> !fleet.isCurrent(server)).toList();
    for (Incarnation server : left) {
      storeLoadLog.onForgotten(server, trackerByServer.remove(server), "server left");
      dependencies.storeLoads().onUntracked(server.toString(), clock.millis());
    }
  }

  private Map<ModelRef, Long> planService(String service, EngineSpec engine, Fleet fleet) {
    long nowMillis = clock.millis();
    List<ServerEntry> entries = fleet.entriesOfService(service);
    entries.forEach(entry -> follow(entry, nowMillis));
    long reported =
        entries.stream().filter(e -> trackerByServer.containsKey(e.incarnation())).count();
    Map<ModelRef, ModelDemand> demand = dependencies.demand().demandByModel(service);
    if (!inventorySync.isComplete((int) reported, entries.size(), nowMillis)) {
      return Map.of();
    }
    List<ServerOrderState> servers =
        entries.stream().map(entry -> orderState(entry, nowMillis)).toList();
    int unknownLoads =
        (int) servers.stream().filter(s -> mayRunUnknownStoreLoad(s, engine, nowMillis)).count();
    dependencies.storeLoads().onUnknownLoads(unknownLoads, nowMillis);
    if (demand.isEmpty()) {
      dependencies.storeLoads().onNoDemand(nowMillis);
    }
    StoreCapacity capacity =
        dependencies.storeLoads().capacity(engine.storeLoadsPerSecond(), nowMillis);
    storeLoadLog.onRound(
        service, dependencies.storeLoads().runningLoads(nowMillis), unknownLoads, capacity);
    ServiceSnapshot snapshot = new ServiceSnapshot(engine, servers, demand, capacity, nowMillis);
    RoundPlan plan =
        plannerByService.computeIfAbsent(service, s -> new SwapPlanner()).plan(snapshot);
    deferredLoadLogByService
        .computeIfAbsent(service, s -> new DeferredLoadLog(clock, events))
        .onRound(plan.deferredLoads(), capacity.allowedLoads());
    for (ModelOrder order : plan.orders()) {
      fleet.entry(order.server().id()).ifPresent(entry -> send(order, engine, entry));
    }
    return plan.readyAtMillisByModel();
  }

  /** Takes the next step for a server, or requests its first inventory. */
  private void follow(ServerEntry entry, long nowMillis) {
    OrderTracker tracker = trackerByServer.get(entry.incarnation());
    if (tracker == null) {
      requestFirstInventory(entry);
    } else {
      advance(entry, tracker, nowMillis);
    }
  }

  /** Returns the state of a server, which has what it announces until it has reported. */
  private ServerOrderState orderState(ServerEntry entry, long nowMillis) {
    Incarnation server = entry.incarnation();
    OrderTracker tracker =
        Optional.ofNullable(trackerByServer.get(server))
            .orElseGet(() -> observer.announcedTracker(entry, nowMillis));
    boolean responds = trackerByServer.containsKey(server) && tracker.responds();
    return new ServerOrderState(
        entry.withInventory(tracker.inventory()),
        tracker.pending(),
        tracker.pendingUntilMillis(),
        tracker.isFollowUpAllowed(),
        dependencies.state().limits(server),
        new ServerConduct(responds, arrivals.isRecent(server, nowMillis)),
        tracker.unloadingAdapters());
  }

  /**
   * Returns whether a server may carry out a store load that this node does not track: an order of
   * an earlier holder of the lease, or one of this node that arrives late.
   */
  private boolean mayRunUnknownStoreLoad(
      ServerOrderState server, EngineSpec engine, long nowMillis) {
    boolean known =
        dependencies.storeLoads().isInFlight(server.entry().incarnation().toString(), nowMillis);
    if (known || server.pending().isPresent() || !server.entry().inventory().busy()) {
      return false;
    }
    long lateUntilMillis =
        Optional.ofNullable(trackerByServer.get(server.entry().incarnation()))
            .map(OrderTracker::lateStoreLoadUntilMillis)
            .orElse(Long.MIN_VALUE);
    long lastBeginMillis = Math.max(lateUntilMillis, inventorySync.startMillis());
    return nowMillis - engine.longestStoreLoadMillis() < lastBeginMillis;
  }

  private void send(ModelOrder order, EngineSpec engine, ServerEntry entry) {
    OrderTracker tracker = trackerByServer.get(order.server());
    long nowMillis = clock.millis();
    long expectedMillis = OrderDurations.expectedMillis(order, engine);
    if (order.isStoreLoad()) {
      String server = order.server().toString();
      dependencies.storeLoads().onStarted(server, order.ref().model(), expectedMillis, nowMillis);
      expectedMillis = dependencies.storeLoads().expectedMillis(server);
    }
    tracker.onSent(order, expectedMillis, nowMillis);
    events.record(
        order.operation() == ModelOrder.Operation.LOAD
            ? EventKind.LOAD_ORDERED
            : EventKind.UNLOAD_ORDERED,
        order.ref().toString(),
        "server %s, source %s, order count %d, fence %d"
            .formatted(order.server(), order.source(), tracker.inventory().orderCount(), fence));
    transmit(order, entry, tracker);
  }

  private void transmit(ModelOrder order, ServerEntry entry, OrderTracker tracker) {
    ServerOrders.OrderMetadata metadata =
        new ServerOrders.OrderMetadata(
            dependencies.node(),
            fence,
            tracker.inventory().orderCount(),
            dependencies.lease().ordersUntilMillis());
    dependencies
        .orders()
        .send(entry, order, metadata)
        .whenComplete(
            (response, e) ->
                dependencies.thread().execute(() -> onResponse(order, tracker, response, e)));
  }

  private void onResponse(
      ModelOrder order, OrderTracker tracker, OrderResponse response, Throwable failure) {
    long nowMillis = clock.millis();
    if (failure != null) {
      onFailure(order, tracker, failure, nowMillis);
      return;
    }
    if (response == OrderResponse.ACCEPTED && order.isStoreLoad() && isTracked(tracker, order)) {
      dependencies.storeLoads().onAccepted(order.server().toString(), nowMillis);
    }
    if (response == OrderResponse.REJECTED) {
      events.record(
          EventKind.LOAD_FAILED, order.ref().toString(), "rejected by server " + order.server());
    }
    tracker.onResponse(response, nowMillis);
  }

  private void onFailure(
      ModelOrder order, OrderTracker tracker, Throwable failure, long nowMillis) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (!(cause instanceof CallException call) || call.mayHaveRun()) {
      events.record(EventKind.ORDER_AMBIGUOUS, order.ref().toString(), failure.toString());
      tracker.onNoResponse(nowMillis);
      return;
    }
    events.record(
        EventKind.LOAD_FAILED,
        order.ref().toString(),
        "not sent to server %s: %s".formatted(order.server(), cause.getMessage()));
    tracker.onNotSent(nowMillis);
    if (tracker.pending().isEmpty() && order.isStoreLoad() && isTracked(tracker, order)) {
      dependencies.storeLoads().onNotLoaded(order.server().toString(), nowMillis);
    }
  }

  private boolean isTracked(OrderTracker tracker, ModelOrder order) {
    return trackerByServer.get(order.server()) == tracker;
  }

  /** Performs the next step for the pending order of a server. */
  private void advance(ServerEntry entry, OrderTracker tracker, long nowMillis) {
    Optional<ModelOrder> before = tracker.pending();
    switch (tracker.next(nowMillis)) {
      case WAIT -> {}
      case SEND_AGAIN -> {
        tracker.onResent(nowMillis);
        transmit(before.orElseThrow(), entry, tracker);
      }
      case ASK -> requestInventory(entry, tracker);
      default -> throw new IllegalStateException("unknown step for " + entry.incarnation());
    }
    logSettled(before, tracker, entry.incarnation());
  }

  private void requestInventory(ServerEntry entry, OrderTracker tracker) {
    tracker.onReportRequested();
    dependencies
        .orders()
        .fetchInventory(entry)
        .whenComplete(
            (inventory, e) ->
                dependencies.thread().execute(() -> onInventory(entry, tracker, inventory, e)));
  }

  private void onInventory(
      ServerEntry entry, OrderTracker tracker, Inventory inventory, Throwable failure) {
    if (failure != null) {
      tracker.onNoReport(clock.millis());
      return;
    }
    Optional<ModelOrder> before = tracker.pending();
    boolean wasAccepted = tracker.isAccepted();
    tracker.onReport(InventoryMerger.merge(inventory, tracker.inventory()), clock.millis());
    before
        .filter(order -> order.isStoreLoad() && isTracked(tracker, order))
        .ifPresent(order -> observer.onReport(order, tracker, wasAccepted, clock.millis()));
    logSettled(before, tracker, entry.incarnation());
  }

  private void logSettled(Optional<ModelOrder> before, OrderTracker tracker, Incarnation server) {
    if (before.isPresent() && tracker.pending().isEmpty()) {
      ModelOrder order = before.get();
      boolean load = order.operation() == ModelOrder.Operation.LOAD;
      events.record(
          load ? EventKind.LOAD_DONE : EventKind.UNLOAD_DONE,
          order.ref().toString(),
          "server %s, order count %d, loaded %s"
              .formatted(
                  server,
                  tracker.inventory().orderCount(),
                  tracker.inventory().hasLoaded(order.ref())));
    }
  }

  /** Requests the first inventory of a server; its order count is required to send orders. */
  private void requestFirstInventory(ServerEntry entry) {
    Incarnation server = entry.incarnation();
    long nowMillis = clock.millis();
    Long requestedMillis = inventoryRequestedMillis.get(server);
    if (requestedMillis != null && nowMillis - requestedMillis < FIRST_INVENTORY_INTERVAL_MILLIS) {
      return;
    }
    inventoryRequestedMillis.put(server, nowMillis);
    long requestFence = fence;
    dependencies
        .orders()
        .fetchInventory(entry)
        .whenComplete(
            (inventory, e) ->
                dependencies
                    .thread()
                    .execute(
                        () -> {
                          if (e == null && fence == requestFence) {
                            onFirstInventory(
                                entry, InventoryMerger.merge(inventory, entry.inventory()));
                          }
                        }));
  }

  private void onFirstInventory(ServerEntry entry, Inventory inventory) {
    trackerByServer.computeIfAbsent(
        entry.incarnation(),
        server ->
            observer.reportedTracker(
                server, inventory, inventorySync.startMillis(), clock.millis()));
  }
}
