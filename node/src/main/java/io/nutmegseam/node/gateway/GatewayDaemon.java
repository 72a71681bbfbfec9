package io.nutmegseam.node.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.HybridClock;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.orders.OrderLease;
import io.nutmegseam.core.orders.StoreLoadLimiter;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.connection.ServerConnectionPools;
import io.nutmegseam.node.control.ControlThread;
import io.nutmegseam.node.control.MonotonicClock;
import io.nutmegseam.node.dispatch.DispatchControl;
import io.nutmegseam.node.log.BoundedEventLog;
import io.nutmegseam.node.pace.RemoteTraffic;
import io.nutmegseam.node.peer.PeerIdentity;
import io.nutmegseam.node.peer.PeerNetwork;
import io.nutmegseam.node.peer.PeerTlsContexts;
import io.nutmegseam.node.peer.PeerTrafficCounter;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.quota.SendQuotas;
import io.nutmegseam.node.relay.FleetNewsRelay;
import io.nutmegseam.node.rows.NodeDirectory;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.rows.RowStore;
import io.nutmegseam.node.rows.TableUpdate;
import io.nutmegseam.node.rows.TableWatcher;
import io.nutmegseam.node.settings.NodeSettings;
import io.nutmegseam.node.tenant.ConfigAgeExchange;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** A gateway node: creates its components, starts them and stops them gracefully. */
public final class GatewayDaemon implements AutoCloseable {
  private static final int LOG_CAPACITY = 4_096;
  private static final int PEER_FRAME_BYTES = 1 << 20;

  /**
   * Interval of heartbeat frames, by which peers distinguish an idle connection from a lost one.
   */
  private static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;

  /** Interval at which a node that reaches no server looks for nodes that do. */
  private static final long SERVING_INTERVAL_MILLIS = 250;

  private static final int PEER_IDLE_TIMEOUT_SECONDS = 4;
  private static final long TICK_INTERVAL_MILLIS = 50;
  private static final long DEMAND_INTERVAL_MILLIS = 250;

  /**
   * Time between the end of the stop and the end of the grace period, when the process is killed.
   */
  private static final long STOP_MARGIN_MILLIS = 800;

  /** Time until the load balancer has noticed that a stopping node is not ready. */
  private static final long DRAIN_LINGER_MILLIS = 2_500;

  /** Time for the release of the lease to reach the store. */
  private static final long LEASE_RELEASE_MILLIS = 100;

  private final GatewaySettings settings;
  private final Clock clock = new MonotonicClock();
  private final HybridClock hybridClock = new HybridClock(Clock.systemUTC());
  private final String processId;
  private final BoundedEventLog events;
  private final ControlThread thread;
  private final GatewayState state = new GatewayState();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final NioEventLoopGroup group =
      new NioEventLoopGroup(1, new DefaultThreadFactory("traffic", true));
  private final EventLoop loop = group.next();
  private final CrashProtection crashes;
  private final SendQuotas quotas;
  private final TrafficContext traffic;
  private final PeerNetwork network;
  private final NodeDirectory directory;
  private final PeerConnections connections;
  private final DemandAggregator demand = new DemandAggregator(clock);
  private final FleetNewsRelay newsRelay;
  private final FleetStateExchange fleetStates;
  private final DemandReporter demandReporter;
  private final EarlierTimeouts earlierTimeouts = new EarlierTimeouts(state, clock);
  private final StoreLoadLimiter storeLoads;
  private final StoreLoadHandover storeLoadHandover;
  private final LeaseControl lease;
  private final FleetControl fleet;
  private final StoreWatcher store;
  private final OrderControl orders;
  private final GatewayServer server;
  private final PeerFrameRouter frameRouter;

  /** The adapters to the platform: its store, its row formats, and orders to its servers. */
  public record Platform(RowStore rows, RowDecoders decoders, ServerOrders orders) {}

  /**
   * Creates the components of a node; {@link #start} starts them.
   *
   * @param settings the node's settings
   * @param headers names of the platform's headers
   * @param platform creates the adapters to the platform with a client for their HTTP calls
   */
  public GatewayDaemon(
      GatewaySettings settings,
      GatewayHeaders headers,
      Function<BufferedHttpClient, Platform> platform) {
    this.settings = settings;
    this.processId = settings.node() + "/" + UUID.randomUUID();
    this.storeLoads = new StoreLoadLimiter(settings.parallelLoads(), settings.loadWindowMillis());
    this.storeLoadHandover = new StoreLoadHandover(processId, storeLoads, clock, Clock.systemUTC());
    this.events = new BoundedEventLog(settings.node(), hybridClock, LOG_CAPACITY);
    this.thread = new ControlThread(events);
    ServerConnectionPools pools =
        new ServerConnectionPools(loop, headers.requestId(), clock, events);
    ModelWaitQueue waitQueue =
        new ModelWaitQueue(new DispatchControl(clock, events), this::reportDemandSoon);
    this.network = createNetwork();
    ServerLoads loads = new ServerLoads(clock);
    this.crashes =
        new CrashProtection(
            new CrashProtection.Dependencies(
                loop, thread, clock, state, pools, loads, network, this::writeOwnRow, events));
    this.traffic =
        new TrafficContextFactory(
                new TrafficContextFactory.Dependencies(
                    settings,
                    headers,
                    loop,
                    clock,
                    state,
                    network,
                    this::onServerLeaving,
                    events,
                    metrics))
            .create(pools, loads, waitQueue, crashes.guard());
    this.quotas = traffic.quotas();
    this.demandReporter =
        new DemandReporter(
            thread, loop, traffic.arrivals(), waitQueue, traffic.loads(), clock, this::sendReport);
    Platform adapters = platform.apply(createHttpClient(pools));
    traffic.keepOriginsInStore(settings.node(), adapters.rows());
    this.fleet =
        new FleetControl(
            state, adapters.decoders(), clock, events, () -> loop.execute(waitQueue::retryAll));
    this.directory = createDirectory();
    this.connections =
        new PeerConnections(
            settings.node(),
            directory,
            network,
            keepers -> loop.execute(() -> traffic.origins().setKeepers(keepers)),
            state::takesPeerRequests);
    this.lease = createLease(adapters.rows());
    this.store = createStoreWatcher(adapters);
    this.newsRelay = new FleetNewsRelay(settings.nodeRecord(), directory, network, clock);
    this.fleetStates =
        new FleetStateExchange(
            new FleetStateExchange.Dependencies(clock, demand, newsRelay, fleet, state, traffic));
    this.orders = createOrders(adapters.orders());
    this.server = new GatewayServer(group, traffic);
    this.frameRouter = createFrameRouter();
    traffic.reach().setListener(this::onReachChanged);
  }

  /** Handles on the traffic thread that this node reaches other servers than before. */
  private void onReachChanged(ServerReach.Reach reach) {
    updateServing();
    thread.execute(connections::sendHeartbeats);
    if (reach == ServerReach.Reach.NONE) {
      server.onCutOff();
    }
  }

  /** Tells the other nodes on the traffic thread that a server has said that it is leaving. */
  private void onServerLeaving(Incarnation server) {
    thread.execute(() -> connections.sendToAll(LeavingServers.frame(server)));
    traffic.waitQueue().retryAll();
  }

  /** Publishes whether this node can serve requests, and looks for nodes that take them if not. */
  private void updateServing() {
    ServerReach.Reach reach = traffic.reach().reach();
    if (reach != ServerReach.Reach.FULL) {
      traffic.peers().connectMore();
    }
    boolean peerAvailable = traffic.peers().isAvailable();
    state.setReach(reach, peerAvailable);
    state.setMaySendOrders(!traffic.reach().isUnfitForOrders() || !peerAvailable);
  }

  private BufferedHttpClient createHttpClient(ServerConnectionPools pools) {
    return new BufferedHttpClient(loop, pools, clock, ServerNotices.of(traffic));
  }

  private StoreWatcher createStoreWatcher(Platform adapters) {
    return new StoreWatcher(
        new StoreWatcher.Dependencies(
            adapters.rows(),
            adapters.decoders(),
            directory,
            network,
            thread::scheduleOnce,
            new TableWatcher.Context(thread::execute, clock, events, ThreadLocalRandom.current()),
            createConfigAges()),
        fleet,
        this::onOwnRows);
  }

  private ConfigAgeExchange createConfigAges() {
    ConfigAgeExchange ages =
        new ConfigAgeExchange(
            settings.revocation(),
            new ConfigAgeExchange.Dependencies(
                clock, Clock.systemUTC(), network, state::config, new SecureRandom(), events));
    state.setConfigProof(ages::state);
    return ages;
  }

  private PeerFrameRouter createFrameRouter() {
    return new PeerFrameRouter(
        new PeerFrameRouter.Dependencies(
            thread, traffic, clock, demand, store, crashes, fleetStates, newsRelay));
  }

  private PeerNetwork createNetwork() {
    return new PeerNetwork(
        new PeerIdentity(settings.node(), processId, settings.dataCentre(), ""),
        new PeerNetwork.Limits(PEER_FRAME_BYTES, PEER_IDLE_TIMEOUT_SECONDS),
        hybridClock,
        events,
        (node, frame) -> frameRouter.route(node, frame),
        new PeerTlsContexts(new NodeSettings.PeerTls("", "", "")),
        new PeerTrafficCounter());
  }

  private NodeDirectory createDirectory() {
    return new NodeDirectory(settings.nodeRecord(), events);
  }

  private LeaseControl createLease(RowStore rows) {
    return new LeaseControl(
        new OrderLease.Claimant(processId, settings.node(), settings.peerAddress().toString()),
        LeaseControl.timing(settings.orderQuietMillis()),
        rows,
        (key, version, row) ->
            writeOwnRow(key, version, storeLoadHandover.addTo(earlierTimeouts.addTo(row))),
        thread,
        new LeaseControl.Clocks(clock, Clock.systemUTC()),
        directory::strongerNodeCount,
        state::maySendOrders,
        events);
  }

  private void onOwnRows(TableUpdate<Row> update) {
    lease.onRows(update);
    earlierTimeouts.onRows(update);
    if (lease.fence().isEmpty()) {
      storeLoadHandover.onRows(update);
    }
    List<NodeRecord> nodes = directory.nodes();
    loop.execute(
        () -> {
          quotas.setNodes(nodes);
          traffic.allotments().setNodes(nodes);
          traffic.retries().setNodeCount(nodes.size());
          traffic.origins().setNodeCount(nodes.size());
          traffic.peers().setNodes(nodes);
        });
    crashes.onRows(update);
  }

  private CompletableFuture<Optional<Long>> writeOwnRow(
      String key, long expectedVersion, String value) {
    return store.write(key, expectedVersion, value);
  }

  private OrderControl createOrders(ServerOrders orderClient) {
    ServerOrders client =
        new ChargedOrders(
            orderClient, server -> loop.execute(() -> quotas.onSentWithoutPermit(server)));
    return new OrderControl(
        new OrderControl.Dependencies(
            settings.node(), state, lease, client, demand, storeLoads, thread, clock, events),
        fleetStates::publish);
  }

  /** Opens the listening addresses and starts the periodic tasks. */
  public void start() {
    events.record(EventKind.NODE_STARTING, settings.node(), settings.toString());
    new NodeGauges(server, store, quotas, traffic.reach(), traffic.bodies(), events)
        .register(metrics);
    metrics.registerWaiting(traffic.waitQueue().dispatch()::waitingByPriority);
    RemoteTraffic remote = NodeGauges.registerRemoteTraffic(metrics, traffic, network.traffic());
    thread.schedulePeriodically(RemoteTraffic.LOG_INTERVAL_MILLIS, remote::log);
    network.listen(settings.peerAddress());
    server.listen(settings.readyAddress(), path -> readiness());
    server.listen(
        settings.metricsAddress(), path -> new StatusResponder.Response(200, metrics.text()));
    server.listen(settings.callerAddress());
    settings.peerRequestAddress().ifPresent(server::listenForPeers);
    thread.schedulePeriodically(TICK_INTERVAL_MILLIS, this::tick);
    thread.schedulePeriodically(DEMAND_INTERVAL_MILLIS, demandReporter::report);
    thread.schedulePeriodically(HEARTBEAT_INTERVAL_MILLIS, connections::refresh);
    loop.scheduleWithFixedDelay(
        this::updateServing,
        SERVING_INTERVAL_MILLIS,
        SERVING_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    events.record(EventKind.NODE_READY, settings.node(), "listening");
  }

  /**
   * Stops the node: finishes the requests in flight and releases the order lease. Returns shortly
   * before the end of the grace period at the latest, even if requests are still in flight.
   */
  public void stop() {
    long nowMillis = clock.millis();
    long stopByMillis = nowMillis + settings.graceMillis() - STOP_MARGIN_MILLIS;
    DrainWindow window = new DrainWindow(nowMillis + DRAIN_LINGER_MILLIS, stopByMillis);
    events.record(
        EventKind.NODE_STOPPING, settings.node(), server.inFlight() + " requests in flight");
    state.setStopping(window);
    thread.execute(connections::sendHeartbeats);
    new RequestDrain(clock, server, () -> loop.execute(traffic.waitQueue()::refuseAll)).run(window);
    thread.execute(lease::release);
    state.setClosed();
    do {
      RequestDrain.pause(LEASE_RELEASE_MILLIS);
    } while (clock.millis() < stopByMillis && server.inFlight() > 0);
    events.record(EventKind.NODE_STOPPED, settings.node(), server.inFlight() + " requests aborted");
    events.flush();
  }

  /** Closes the connections and the threads of a node that has stopped. */
  @Override
  public void close() {
    network.close();
    thread.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** Checks changed settings, which take effect at the next start of the node. */
  public void reload(SettingsReload.Source source) {
    new SettingsReload(settings, events).check(source);
  }

  private StatusResponder.Response readiness() {
    return state.isReady()
        ? new StatusResponder.Response(200, "ready\n")
        : new StatusResponder.Response(503, "not ready\n");
  }

  private void tick() {
    store.tick();
    lease.tick(store.ownTableAgeMillis());
    lease.row().ifPresent(connections::connectToHolder);
    fleet.publishIfDue();
    fleet.onRead(store.serversReadMillis(), store.configReadMillis());
    earlierTimeouts.apply();
    crashes.tick(store.serversAgeMillis());
    orders.tick();
  }

  private void reportDemandSoon() {
    demandReporter.reportSoon();
  }

  private void sendReport(DemandAggregator.Report report) {
    demand.onReport(settings.node(), report);
    lease
        .row()
        .filter(row -> !row.node().equals(settings.node()))
        .ifPresent(
            row ->
                network.send(
                    row.node(),
                    PeerFrame.newBuilder()
                        .setFleetDemand(
                            fleetStates.addTo(
                                newsRelay.addTo(FleetCodec.encode(report, clock.millis()))))));
  }
}
