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
import io.nutmegseam.core.orders.ModelOrder;
import io.nutmegseam.core.orders.OrderAnswer;
import io.nutmegseam.core.orders.OrderTracker;
import io.nutmegseam.core.orders.ServerSurvey;
import io.nutmegseam.core.orders.ServerWork;
import io.nutmegseam.core.orders.StoreLoads;
import io.nutmegseam.core.orders.StoreRoom;
import io.nutmegseam.core.orders.SwapPlanner;
import io.nutmegseam.core.orders.SwapView;
import io.nutmegseam.node.control.ControlThread;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Gives the orders of the node that holds the lease: plans, and sends one order a server at a time.
 * Confined to the control thread.
 */
final class OrderControl {
  /** Time between questions to a server that has not been seen yet, in milliseconds. */
  private static final long FIRST_REPORT_MILLIS = 1_000;

  private final Parts parts;
  private final InstantSource clock;
  private final EventSink events;
  private final BiConsumer<Map<Incarnation, Inventory>, Map<ModelRef, Long>> news;
  private final Map<String, SwapPlanner> plannerByService = new HashMap<>();
  private final Map<Incarnation, OrderTracker> trackerByServer = new HashMap<>();
  private final Map<Incarnation, Long> askedFirstAtMillis = new HashMap<>();
  private long fence = -1;
  private ServerSurvey survey = new ServerSurvey(0);

  /** What the control works with. */
  record Parts(
      String node,
      GatewayBoard board,
      LeaseControl lease,
      ServerOrders orders,
      DemandBook demand,
      StoreLoads storeLoads,
      ControlThread thread,
      InstantSource clock,
      EventSink events) {}

  /**
   * Creates the control.
   *
   * @param parts what the control works with
   * @param news takes the inventories and expectations that other nodes should know
   */
  OrderControl(Parts parts, BiConsumer<Map<Incarnation, Inventory>, Map<ModelRef, Long>> news) {
    this.parts = parts;
    this.clock = parts.clock();
    this.events = parts.events();
    this.news = news;
  }

  /** Plans and gives orders, if this node may. */
  void tick() {
    Optional<Long> held = parts.lease().fence();
    Optional<GatewayConfig> config = parts.board().config();
    if (held.isEmpty() || config.isEmpty()) {
      forget(-1);
      return;
    }
    if (held.get() != fence) {
      forget(held.get());
    }
    Fleet fleet = parts.board().fleet();
    trackerByServer.keySet().removeIf(server -> !fleet.isCurrent(server));
    askedFirstAtMillis.keySet().removeIf(server -> !fleet.isCurrent(server));
    Map<ModelRef, Long> expectations = new HashMap<>();
    for (ServiceSpec service : config.get().services().values()) {
      service.engine().ifPresent(e -> expectations.putAll(plan(service.name(), e, fleet)));
    }
    Map<Incarnation, Inventory> inventories = new HashMap<>();
    trackerByServer.forEach((server, tracker) -> inventories.put(server, tracker.inventory()));
    news.accept(inventories, expectations);
  }

  private void forget(long nextFence) {
    if (fence != nextFence) {
      fence = nextFence;
      survey = new ServerSurvey(clock.millis());
      trackerByServer.clear();
      askedFirstAtMillis.clear();
      plannerByService.values().forEach(SwapPlanner::reset);
    }
  }

  private Map<ModelRef, Long> plan(String service, EngineSpec engine, Fleet fleet) {
    long nowMillis = clock.millis();
    List<ServerWork> servers = new ArrayList<>();
    for (ServerEntry entry : fleet.entriesOfService(service)) {
      OrderTracker tracker = trackerByServer.get(entry.incarnation());
      if (tracker == null) {
        askFirst(entry);
        continue;
      }
      proceed(entry, tracker, engine, nowMillis);
      servers.add(
          new ServerWork(
              entry.withInventory(tracker.inventory()),
              tracker.pending(),
              tracker.pendingUntilMillis(),
              tracker.isFollowable()));
    }
    if (!survey.isComplete(servers.size(), fleet.entriesOfService(service).size(), nowMillis)) {
      return Map.of();
    }
    int storeLoads = (int) servers.stream().filter(OrderControl::mayLoadFromStore).count();
    parts.storeLoads().onRunning(storeLoads, nowMillis);
    StoreRoom room =
        new StoreRoom(
            parts.storeLoads().allowed(engine.storeLoadsPerSecond(), nowMillis),
            parts.storeLoads().parallel());
    SwapView view = new SwapView(engine, servers, parts.demand().demand(service), room, nowMillis);
    SwapPlanner.Plan plan =
        plannerByService.computeIfAbsent(service, s -> new SwapPlanner()).plan(view);
    for (ModelOrder order : plan.orders()) {
      fleet.entry(order.server().id()).ifPresent(entry -> send(order, engine, entry));
    }
    return plan.readyAtMillisByModel();
  }

  private static boolean mayLoadFromStore(ServerWork work) {
    return work.pending().map(ModelOrder::isStoreLoad).orElse(work.entry().inventory().busy());
  }

  /** Learns from a load from the store how many run at full speed. */
  private void observeStoreLoad(
      ModelOrder order, OrderTracker tracker, EngineSpec engine, long nowMillis) {
    long ownMillis = OrderTimes.expectedMillis(order, engine);
    if (order.isStoreLoad() && tracker.pending().isPresent()) {
      parts.storeLoads().onProgress(order.server(), ownMillis, nowMillis);
    } else if (order.isStoreLoad() && tracker.inventory().hasLoaded(order.ref())) {
      parts.storeLoads().onDone(order.server(), ownMillis, nowMillis);
    }
  }

  private void send(ModelOrder order, EngineSpec engine, ServerEntry entry) {
    OrderTracker tracker = trackerByServer.get(order.server());
    long nowMillis = clock.millis();
    long takesMillis = OrderTimes.expectedMillis(order, engine);
    if (order.isStoreLoad()) {
      parts.storeLoads().onStarted(order.server(), nowMillis);
      takesMillis = parts.storeLoads().expectedMillis(takesMillis);
    }
    tracker.onSent(order, takesMillis, nowMillis);
    events.record(
        order.operation() == ModelOrder.Operation.LOAD
            ? EventKind.LOAD_ORDERED
            : EventKind.UNLOAD_ORDERED,
        order.ref().toString(),
        "server %s, from %s, count %d, fence %d"
            .formatted(order.server(), order.source(), tracker.inventory().orderCount(), fence));
    transmit(order, entry, tracker);
  }

  private void transmit(ModelOrder order, ServerEntry entry, OrderTracker tracker) {
    ServerOrders.Stamp stamp =
        new ServerOrders.Stamp(
            parts.node(),
            fence,
            tracker.inventory().orderCount(),
            parts.lease().ordersUntilMillis());
    parts
        .orders()
        .send(entry, order, stamp)
        .whenComplete(
            (answer, e) -> parts.thread().execute(() -> onAnswer(order, tracker, answer, e)));
  }

  private void onAnswer(
      ModelOrder order, OrderTracker tracker, OrderAnswer answer, Throwable failure) {
    if (failure != null) {
      events.record(EventKind.ORDER_AMBIGUOUS, order.ref().toString(), failure.toString());
      tracker.onUnanswered(clock.millis());
      return;
    }
    if (answer == OrderAnswer.REJECTED) {
      events.record(EventKind.LOAD_FAILED, order.ref().toString(), "rejected by " + order.server());
    }
    tracker.onAnswer(answer, clock.millis());
  }

  /** Does what the pending order of a server asks for. */
  private void proceed(ServerEntry entry, OrderTracker tracker, EngineSpec engine, long nowMillis) {
    Optional<ModelOrder> before = tracker.pending();
    switch (tracker.next(nowMillis)) {
      case WAIT -> {}
      case SEND_AGAIN -> {
        tracker.onSentAgain(nowMillis);
        transmit(before.orElseThrow(), entry, tracker);
      }
      case ASK -> ask(entry, tracker, engine);
      default -> throw new IllegalStateException("unknown step for " + entry.incarnation());
    }
    before.ifPresent(order -> observeStoreLoad(order, tracker, engine, nowMillis));
    logSettled(before, tracker, entry.incarnation());
  }

  private void ask(ServerEntry entry, OrderTracker tracker, EngineSpec engine) {
    tracker.onAsked();
    parts
        .orders()
        .inventory(entry)
        .whenComplete(
            (inventory, e) ->
                parts.thread().execute(() -> onReport(entry, tracker, engine, inventory, e)));
  }

  private void onReport(
      ServerEntry entry,
      OrderTracker tracker,
      EngineSpec engine,
      Inventory inventory,
      Throwable failure) {
    if (failure != null) {
      tracker.onNoReport(clock.millis());
      return;
    }
    Optional<ModelOrder> before = tracker.pending();
    tracker.onReport(InventoryCopies.join(inventory, tracker.inventory()), clock.millis());
    before.ifPresent(order -> observeStoreLoad(order, tracker, engine, clock.millis()));
    logSettled(before, tracker, entry.incarnation());
  }

  private void logSettled(Optional<ModelOrder> before, OrderTracker tracker, Incarnation server) {
    if (before.isPresent() && tracker.pending().isEmpty()) {
      ModelOrder order = before.get();
      boolean load = order.operation() == ModelOrder.Operation.LOAD;
      events.record(
          load ? EventKind.LOAD_DONE : EventKind.UNLOAD_DONE,
          order.ref().toString(),
          "server %s, count %d, held %s"
              .formatted(
                  server,
                  tracker.inventory().orderCount(),
                  tracker.inventory().hasLoaded(order.ref())));
    }
  }

  /** Asks a server for its order count, without which it takes no orders. */
  private void askFirst(ServerEntry entry) {
    Incarnation server = entry.incarnation();
    long nowMillis = clock.millis();
    Long askedMillis = askedFirstAtMillis.get(server);
    if (askedMillis != null && nowMillis - askedMillis < FIRST_REPORT_MILLIS) {
      return;
    }
    askedFirstAtMillis.put(server, nowMillis);
    long asker = fence;
    parts
        .orders()
        .inventory(entry)
        .whenComplete(
            (inventory, e) ->
                parts
                    .thread()
                    .execute(
                        () -> {
                          if (e == null && fence == asker) {
                            trackerByServer.putIfAbsent(
                                server,
                                new OrderTracker(
                                    InventoryCopies.join(inventory, entry.inventory())));
                          }
                        }));
  }
}
