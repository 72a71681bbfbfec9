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
import io.nutmegseam.core.orders.ServerWork;
import io.nutmegseam.core.orders.StoreLoads;
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
 * Gives the orders of the node that holds the lease: plans, sends one order a server at a time, and
 * watches each until the server's inventory proves its outcome. Confined to the control thread.
 */
final class OrderControl {
  /** An order without an answer is settled by the inventory from this time on. */
  private static final long ANSWER_MILLIS = 800;

  private static final long REPORT_MILLIS = 150;

  /** Time between questions to a server that has not been seen yet. */
  private static final long FIRST_REPORT_MILLIS = 1_000;

  /** A load that has not shown after this multiple of its time is given up. */
  private static final int OVERDUE_FACTOR = 4;

  private static final long MIN_OVERDUE_MILLIS = 3_000;

  private final GatewayBoard board;
  private final LeaseControl lease;
  private final ServerOrders orders;
  private final DemandBook demand;
  private final StoreLoads storeLoads;
  private final ControlThread thread;
  private final InstantSource clock;
  private final EventSink events;
  private final String node;
  private final BiConsumer<Map<Incarnation, Inventory>, Map<ModelRef, Long>> news;
  private final Map<String, SwapPlanner> plannerByService = new HashMap<>();
  private final Map<Incarnation, Pending> pendingByServer = new HashMap<>();
  private final Map<Incarnation, Inventory> seen = new HashMap<>();
  private final Map<Incarnation, Long> askedFirstAtMillis = new HashMap<>();
  private long fence = -1;

  /** An order that has not been seen to be done. */
  private static final class Pending {
    private final ModelOrder order;
    private final long countBefore;
    private final long sentMillis;
    private final long dueMillis;
    private boolean answered;
    private boolean asking;
    private long askAtMillis;

    private Pending(ModelOrder order, long countBefore, long sentMillis, long dueMillis) {
      this.order = order;
      this.countBefore = countBefore;
      this.sentMillis = sentMillis;
      this.dueMillis = dueMillis;
      this.askAtMillis = dueMillis;
    }
  }

  /**
   * Creates the control.
   *
   * @param parts what the control works with
   * @param news takes the inventories and expectations that other nodes should know
   */
  OrderControl(Parts parts, BiConsumer<Map<Incarnation, Inventory>, Map<ModelRef, Long>> news) {
    this.board = parts.board();
    this.lease = parts.lease();
    this.orders = parts.orders();
    this.demand = parts.demand();
    this.storeLoads = parts.storeLoads();
    this.thread = parts.thread();
    this.clock = parts.clock();
    this.events = parts.events();
    this.node = parts.node();
    this.news = news;
  }

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

  /** Plans and gives orders, if this node may. */
  void tick() {
    Optional<Long> held = lease.fence();
    if (held.isEmpty() || board.config().isEmpty()) {
      if (fence >= 0) {
        forget();
      }
      return;
    }
    if (held.get() != fence) {
      forget();
      fence = held.get();
    }
    Fleet fleet = board.fleet();
    pendingByServer.keySet().removeIf(server -> !fleet.isCurrent(server));
    seen.keySet().removeIf(server -> !fleet.isCurrent(server));
    askedFirstAtMillis.keySet().removeIf(server -> !fleet.isCurrent(server));
    pendingByServer.forEach(this::watch);
    Map<ModelRef, Long> expectations = new HashMap<>();
    GatewayConfig config = board.config().orElseThrow();
    for (ServiceSpec service : config.services().values()) {
      service.engine().ifPresent(e -> expectations.putAll(plan(service.name(), e, fleet)));
    }
    news.accept(Map.copyOf(seen), expectations);
  }

  private void forget() {
    fence = -1;
    pendingByServer.clear();
    seen.clear();
    askedFirstAtMillis.clear();
    plannerByService.values().forEach(SwapPlanner::reset);
  }

  private Map<ModelRef, Long> plan(String service, EngineSpec engine, Fleet fleet) {
    List<ServerWork> servers = new ArrayList<>();
    int running = 0;
    for (ServerEntry entry : fleet.ofService(service)) {
      ServerWork work = work(entry);
      servers.add(work);
      boolean unknownOrder = work.pending().isEmpty() && work.entry().inventory().busy();
      running += work.pending().filter(ModelOrder::isStoreLoad).isPresent() ? 1 : 0;
      running += unknownOrder ? 1 : 0;
    }
    long nowMillis = clock.millis();
    int allowed = storeLoads.allowed(running, engine.storeLoadsPerSecond(), nowMillis);
    SwapView view = new SwapView(engine, servers, demand.demand(service), allowed, nowMillis);
    SwapPlanner.Plan plan =
        plannerByService.computeIfAbsent(service, s -> new SwapPlanner()).plan(view);
    for (ModelOrder order : plan.orders()) {
      fleet.entry(order.server().id()).ifPresent(entry -> send(order, engine, entry));
    }
    return plan.readyAtMillisByModel();
  }

  private ServerWork work(ServerEntry entry) {
    Pending pending = pendingByServer.get(entry.incarnation());
    ServerEntry current = entry.with(newest(entry));
    if (pending == null && !seen.containsKey(entry.incarnation())) {
      askFirst(entry);
      return new ServerWork(current.asDraining(), Optional.empty(), 0);
    }
    return pending == null
        ? new ServerWork(current, Optional.empty(), 0)
        : new ServerWork(current, Optional.of(pending.order), pending.dueMillis);
  }

  /** Asks a server for its order count, without which it takes no orders. */
  private void askFirst(ServerEntry entry) {
    Incarnation server = entry.incarnation();
    long nowMillis = clock.millis();
    if (askedFirstAtMillis.getOrDefault(server, 0L) + FIRST_REPORT_MILLIS > nowMillis) {
      return;
    }
    askedFirstAtMillis.put(server, nowMillis);
    orders
        .inventory(entry)
        .whenComplete(
            (inventory, e) ->
                thread.execute(
                    () -> {
                      if (e == null && fence >= 0) {
                        seen.putIfAbsent(server, withCopies(server, inventory));
                      }
                    }));
  }

  /** Returns what this node has read from a server, or else the server's announcement. */
  private Inventory newest(ServerEntry entry) {
    Inventory own = seen.get(entry.incarnation());
    return own == null ? entry.inventory() : own;
  }

  private void send(ModelOrder order, EngineSpec engine, ServerEntry entry) {
    long nowMillis = clock.millis();
    long takesMillis = OrderTimes.expectedMillis(order, engine);
    long count = newest(entry).orderCount();
    Pending pending = new Pending(order, count, nowMillis, nowMillis + takesMillis);
    pendingByServer.put(order.server(), pending);
    if (order.isStoreLoad()) {
      storeLoads.onStarted(nowMillis);
    }
    events.record(
        order.operation() == ModelOrder.Operation.LOAD
            ? EventKind.LOAD_ORDERED
            : EventKind.UNLOAD_ORDERED,
        order.ref().toString(),
        "server %s, from %s, count %d, fence %d"
            .formatted(order.server(), order.source(), count, fence));
    orders
        .send(entry, order, new ServerOrders.Stamp(node, fence, count))
        .whenComplete((outcome, e) -> thread.execute(() -> onOutcome(pending, outcome, e)));
  }

  private void onOutcome(Pending pending, ServerOrders.Outcome outcome, Throwable failure) {
    if (pendingByServer.get(pending.order.server()) != pending) {
      return;
    }
    if (failure != null) {
      events.record(EventKind.ORDER_AMBIGUOUS, pending.order.ref().toString(), failure.toString());
      pending.askAtMillis = clock.millis();
      return;
    }
    pending.answered = true;
    switch (outcome) {
      case ACCEPTED -> {}
      case ALREADY_DONE -> pending.askAtMillis = clock.millis();
      case CONFLICT, REJECTED -> {
        events.record(
            EventKind.LOAD_FAILED,
            pending.order.ref().toString(),
            "server %s answered %s".formatted(pending.order.server(), outcome));
        pending.askAtMillis = clock.millis();
        pending.answered = false;
      }
      default -> throw new IllegalStateException("unknown outcome " + outcome);
    }
  }

  /** Asks the server of a pending order what it holds, once the order should be done. */
  private void watch(Incarnation server, Pending pending) {
    long nowMillis = clock.millis();
    if (pending.asking || nowMillis < pending.askAtMillis) {
      return;
    }
    Optional<ServerEntry> entry = board.fleet().entry(server.id());
    if (entry.isEmpty()) {
      return;
    }
    pending.asking = true;
    pending.askAtMillis = nowMillis + REPORT_MILLIS;
    orders
        .inventory(entry.get())
        .whenComplete((inventory, e) -> thread.execute(() -> onReport(pending, inventory, e)));
  }

  private void onReport(Pending pending, Inventory inventory, Throwable failure) {
    pending.asking = false;
    Incarnation server = pending.order.server();
    if (pendingByServer.get(server) != pending) {
      return;
    }
    long nowMillis = clock.millis();
    if (failure == null) {
      Inventory before = seen.get(server);
      if (before == null || inventory.orderCount() >= before.orderCount()) {
        seen.put(server, withCopies(server, inventory));
      }
      settle(pending, inventory, nowMillis);
    }
    long takesMillis = pending.dueMillis - pending.sentMillis;
    long overdueMillis = Math.max(MIN_OVERDUE_MILLIS, takesMillis * OVERDUE_FACTOR);
    if (nowMillis - pending.sentMillis > overdueMillis && !inventoryIsBusy(inventory)) {
      events.record(EventKind.LOAD_FAILED, pending.order.ref().toString(), "overdue at " + server);
      pendingByServer.remove(server);
    }
  }

  private static boolean inventoryIsBusy(Inventory inventory) {
    return inventory != null && inventory.busy();
  }

  /** Ends a pending order whose outcome the inventory proves. */
  private void settle(Pending pending, Inventory inventory, long nowMillis) {
    boolean taken = inventory.orderCount() > pending.countBefore;
    boolean load = pending.order.operation() == ModelOrder.Operation.LOAD;
    boolean holds = inventory.holds(pending.order.ref());
    if (taken && !inventory.busy()) {
      events.record(
          load ? EventKind.LOAD_DONE : EventKind.UNLOAD_DONE,
          pending.order.ref().toString(),
          "server %s, count %d, %d ms, held %s"
              .formatted(
                  pending.order.server(),
                  inventory.orderCount(),
                  nowMillis - pending.sentMillis,
                  holds));
      pendingByServer.remove(pending.order.server());
    } else if (!taken && !pending.answered && nowMillis - pending.sentMillis > ANSWER_MILLIS) {
      // The order may still arrive late; the next one bears the same count, so one of them fails.
      pendingByServer.remove(pending.order.server());
    }
  }

  /** A report may leave out the copies of weights; the entry and the order tell of them. */
  private Inventory withCopies(Incarnation server, Inventory inventory) {
    return board
        .fleet()
        .entry(server.id())
        .map(entry -> InventoryCopies.join(inventory, newest(entry)))
        .orElse(inventory);
  }
}
