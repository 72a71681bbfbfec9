package io.nutmegseam.node.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.HybridClock;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.orders.OrderLease;
import io.nutmegseam.core.orders.OrderLeaseRow;
import io.nutmegseam.core.orders.StoreLoads;
import io.nutmegseam.node.control.ControlThread;
import io.nutmegseam.node.control.MonotonicClock;
import io.nutmegseam.node.log.BoundedEventLog;
import io.nutmegseam.node.peer.PeerIdentity;
import io.nutmegseam.node.peer.PeerNetwork;
import io.nutmegseam.node.peer.PeerTlsContexts;
import io.nutmegseam.node.peer.PeerTraffic;
import io.nutmegseam.node.peer.generated.FleetNews;
import io.nutmegseam.node.peer.generated.Heartbeat;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.rows.NodeDirectory;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.rows.RowTable;
import io.nutmegseam.node.rows.RowWatch;
import io.nutmegseam.node.settings.HostPort;
import io.nutmegseam.node.settings.NodeSettings;
import java.time.Clock;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;

/** A gateway node: joins its parts, starts them and stops them without cutting a request. */
public final class GatewayDaemon {
  private static final int LOG_CAPACITY = 4_096;
  private static final int PEER_FRAME_BYTES = 1 << 20;

  /** Each peer connection carries a frame this often, so that a silent one shows. */
  private static final long HEARTBEAT_MILLIS = 1_000;

  private static final int PEER_SILENCE_SECONDS = 4;
  private static final long TICK_MILLIS = 50;
  private static final long DEMAND_MILLIS = 250;
  private static final long STOP_POLL_MILLIS = 50;

  /** A stopping node keeps taking requests until the balancer has seen that it isn't ready. */
  private static final long STOP_LINGER_MILLIS = 2_500;

  /** Requests that still wait for a model are refused this long before the node ends. */
  private static final long STOP_REFUSAL_MILLIS = 700;

  /** Time kept free before the forced end. */
  private static final long STOP_MARGIN_MILLIS = 800;

  /** Time for the store to take the release of the lease. */
  private static final long RELEASE_MILLIS = 100;

  /** Nodes assumed to share fleet-wide limits until the holder of the lease says how many. */
  private static final int ASSUMED_NODES = 12;

  /** Time of the order lease; docs/PLATFORM.md weighs shorter and longer ones. */
  private static final long LEASE_MILLIS = 8_000;

  private static final long LEASE_RENEW_MILLIS = 1_000;

  /** Time for an order to reach its server before the lease runs out. */
  private static final long LEASE_MARGIN_MILLIS = 1_000;

  /**
   * The quiet time is between arrivals at a server; an order may arrive this long after it left.
   */
  private static final long ORDER_FLIGHT_MILLIS = 300;

  private final GatewaySettings settings;
  private final Clock clock = new MonotonicClock();
  private final HybridClock hybrid = new HybridClock(Clock.systemUTC());
  private final String process;
  private final BoundedEventLog events;
  private final ControlThread thread;
  private final GatewayBoard board = new GatewayBoard();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final NioEventLoopGroup group =
      new NioEventLoopGroup(1, new DefaultThreadFactory("traffic", true));
  private final EventLoop loop = group.next();
  private final TrafficContext traffic;
  private final PeerNetwork network;
  private final DemandBook demand = new DemandBook(clock);
  private final NewsSender news = new NewsSender(clock);
  private final DemandReporter reporter;
  private final LeaseControl lease;
  private final FleetControl fleet;
  private final StoreFollower store;
  private final OrderControl orders;
  private final GatewayServer server;

  /** What the platform provides. */
  public record Platform(RowTable rows, RowDecoders decoders, ServerOrders orders) {}

  /**
   * Joins the parts of a node; {@link #start} sets them going.
   *
   * @param settings the node's settings
   * @param headers names of the platform's headers
   * @param platform makes the platform's adapters from a client for calls
   */
  public GatewayDaemon(
      GatewaySettings settings, GatewayHeaders headers, Function<HttpCalls, Platform> platform) {
    this.settings = settings;
    this.process = settings.node() + "/" + UUID.randomUUID();
    this.events = new BoundedEventLog(settings.node(), hybrid, LOG_CAPACITY);
    this.thread = new ControlThread(events);
    ServerPools pools = new ServerPools(loop, headers.requestId(), clock);
    WaitingRoom room = new WaitingRoom(this::onFirstWaiter);
    this.traffic = traffic(headers, pools, room);
    this.reporter =
        new DemandReporter(
            thread, loop, traffic.arrivals(), room, traffic.loads(), clock, this::deliver);
    Platform adapters = platform.apply(new HttpCalls(loop, pools, clock));
    this.network = network();
    this.fleet =
        new FleetControl(
            board, adapters.decoders(), clock, events, () -> loop.execute(room::reconsiderAll));
    NodeDirectory directory = directory();
    this.lease = lease(adapters.rows(), directory);
    this.store =
        new StoreFollower(
            new StoreFollower.Parts(
                adapters.rows(),
                adapters.decoders(),
                directory,
                network,
                thread::after,
                new RowWatch.Context(thread::execute, clock, events, ThreadLocalRandom.current())),
            fleet,
            lease::onRows);
    this.orders = orders(adapters.orders());
    this.server = new GatewayServer(group, traffic);
  }

  private TrafficContext traffic(GatewayHeaders headers, ServerPools pools, WaitingRoom room) {
    ServerLoads loads = new ServerLoads(clock);
    return new TrafficContext(
        loop,
        clock,
        headers,
        board,
        pools,
        new ServerChooser(settings.dataCentre(), loads, ThreadLocalRandom.current(), clock),
        loads,
        new RetryAllowance(
            settings.retryRatio(),
            settings.retrySlack(),
            settings.retryWindowMillis(),
            ASSUMED_NODES,
            clock),
        room,
        new ArrivalCounts(),
        events,
        metrics);
  }

  private PeerNetwork network() {
    return new PeerNetwork(
        new PeerIdentity(settings.node(), process, settings.dataCentre(), ""),
        new PeerNetwork.Limits(PEER_FRAME_BYTES, PEER_SILENCE_SECONDS),
        hybrid,
        events,
        (node, frame) -> thread.execute(() -> onFrame(node, frame)),
        new PeerTlsContexts(new NodeSettings.PeerTls("", "", "")),
        new PeerTraffic());
  }

  private NodeDirectory directory() {
    return new NodeDirectory(
        new NodeRecord(
            settings.node(),
            settings.dataCentre(),
            settings.peerAddress(),
            settings.processorPower()),
        events);
  }

  private LeaseControl lease(RowTable rows, NodeDirectory directory) {
    return new LeaseControl(
        new OrderLease.Claimant(process, settings.node(), settings.peerAddress().toString()),
        new OrderLease.Timing(
            LEASE_MILLIS,
            LEASE_RENEW_MILLIS,
            LEASE_MARGIN_MILLIS,
            settings.orderQuietMillis() + ORDER_FLIGHT_MILLIS),
        rows,
        this::writeOwnRow,
        thread,
        new LeaseControl.Clocks(clock, Clock.systemUTC()),
        directory::strongerNodes,
        events);
  }

  private CompletableFuture<Optional<Long>> writeOwnRow(
      String key, long expectedVersion, String value) {
    return store.write(key, expectedVersion, value);
  }

  private OrderControl orders(ServerOrders client) {
    return new OrderControl(
        new OrderControl.Parts(
            settings.node(),
            board,
            lease,
            client,
            demand,
            new StoreLoads(settings.parallelLoads(), settings.loadWindowMillis()),
            thread,
            clock,
            events),
        this::onOwnNews);
  }

  /** Starts the node. */
  public void start() {
    events.record(EventKind.NODE_STARTING, settings.node(), settings.toString());
    metrics.gauge("in_flight", "Requests in flight", server::inFlight);
    metrics.gauge(
        "servers_age_seconds",
        "Age of what is known of the servers",
        () -> store.serversAgeMillis() / 1e3);
    metrics.count("log_dropped", "Log lines dropped", events::droppedCount);
    network.listen(settings.peerAddress());
    server.listen(settings.readyAddress(), path -> readiness());
    server.listen(settings.metricsAddress(), path -> new StatusAnswers.Answer(200, metrics.text()));
    server.listen(settings.callerAddress());
    thread.every(TICK_MILLIS, this::tick);
    thread.every(DEMAND_MILLIS, reporter::report);
    thread.every(HEARTBEAT_MILLIS, this::heartbeat);
    events.record(EventKind.NODE_READY, settings.node(), "listening");
  }

  /** Stops the node: requests in flight are finished, and what it holds is given up. */
  public void stop() {
    long startedMillis = clock.millis();
    events.record(EventKind.NODE_STOPPING, settings.node(), server.inFlight() + " in flight");
    board.setStopping();
    long lastMillis = startedMillis + settings.graceMillis() - STOP_MARGIN_MILLIS;
    boolean lingering = true;
    while (clock.millis() < lastMillis && (lingering || server.inFlight() > 0)) {
      lingering = clock.millis() - startedMillis < STOP_LINGER_MILLIS;
      if (!lingering) {
        server.stopListening();
      }
      if (clock.millis() > lastMillis - STOP_REFUSAL_MILLIS) {
        loop.execute(traffic.room()::giveUpAll);
      }
      server.closeIdle();
      pause(STOP_POLL_MILLIS);
    }
    thread.execute(lease::release);
    board.setClosed();
    do {
      pause(RELEASE_MILLIS);
    } while (clock.millis() < lastMillis && server.inFlight() > 0);
    events.record(EventKind.NODE_STOPPED, settings.node(), server.inFlight() + " cut");
    events.flush();
  }

  /** Notes that the settings may have changed; those of a running node stay as they are. */
  public void reload() {
    events.record(EventKind.SETTINGS_RELOADED, settings.node(), "unchanged while running");
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private StatusAnswers.Answer readiness() {
    return board.isReady()
        ? new StatusAnswers.Answer(200, "ready\n")
        : new StatusAnswers.Answer(503, "not ready\n");
  }

  private void tick() {
    store.tick();
    lease.tick(store.ownAgeMillis());
    lease.row().ifPresent(this::connect);
    fleet.publishIfDue();
    orders.tick();
  }

  private void heartbeat() {
    for (String peer : network.connected()) {
      network.send(peer, PeerFrame.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()));
    }
  }

  private void connect(OrderLeaseRow row) {
    boolean other = !row.node().isEmpty() && !row.node().equals(settings.node());
    if (other && !row.released() && !network.connected().contains(row.node())) {
      HostPort.parse(row.peerAddress()).ifPresent(network::connect);
    }
  }

  private void onFirstWaiter() {
    reporter.reportSoon();
  }

  private void deliver(DemandBook.Report report) {
    demand.onReport(settings.node(), report);
    lease
        .row()
        .filter(row -> !row.node().equals(settings.node()))
        .ifPresent(
            row ->
                network.send(
                    row.node(),
                    PeerFrame.newBuilder()
                        .setFleetDemand(FleetPeers.encode(report, clock.millis()))));
  }

  private void onFrame(String node, PeerFrame frame) {
    if (frame.hasFleetDemand()) {
      demand.onReport(node, FleetPeers.decode(frame.getFleetDemand(), clock.millis()));
    } else if (frame.hasStoreNews()) {
      store.onNews(node, frame.getStoreNews());
    } else if (frame.hasRowWriteAsk() || frame.hasRowWriteAnswer()) {
      store.onWrite(node, frame);
    } else if (frame.hasFleetNews()) {
      FleetNews message = frame.getFleetNews();
      apply(
          FleetPeers.inventories(message),
          FleetPeers.expectations(message, clock.millis()),
          message);
    }
  }

  /** Tells the other nodes what this one, as holder of the lease, has seen. */
  private void onOwnNews(
      Map<Incarnation, Inventory> inventories, Map<ModelRef, Long> readyAtMillis) {
    NewsSender.Knowledge known =
        new NewsSender.Knowledge(
            inventories, readyAtMillis, demand.outstandingByServer(), demand.nodes());
    news.next(known)
        .ifPresent(
            message -> {
              for (String peer : network.connected()) {
                network.send(peer, PeerFrame.newBuilder().setFleetNews(message));
              }
              apply(inventories, readyAtMillis, message);
            });
  }

  private void apply(
      Map<Incarnation, Inventory> inventories,
      Map<ModelRef, Long> readyAtMillis,
      FleetNews message) {
    inventories.forEach(fleet::onNews);
    board.setOutlook(new ModelOutlook(readyAtMillis));
    loop.execute(
        () -> {
          traffic.retries().setNodes(message.getNodes());
          if (message.getUsesCount() > 0) {
            traffic.loads().onTotals(FleetPeers.outstanding(message.getUsesList()));
          }
        });
    fleet.publish();
  }
}
