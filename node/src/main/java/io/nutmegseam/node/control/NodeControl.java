package io.nutmegseam.node.control;

import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.lease.LeaseRow;
import io.nutmegseam.core.ownership.TakeoverRule;
import io.nutmegseam.core.placement.PlacementPlanner.ServerCondition;
import io.nutmegseam.core.platform.VmList;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.ConfigPull;
import io.nutmegseam.node.peer.generated.Heartbeat;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.settings.HostPort;
import io.nutmegseam.node.settings.NodeSettings.Timing;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** Connects the control components of a node and runs their tasks on the control thread. */
public final class NodeControl implements BudgetControl.Reachability {
  private static final long PLAN_INTERVAL_MILLIS = 500;
  private static final long REPUBLISH_INTERVAL_MILLIS = 20_000;
  private static final long RECENT_LEASE_MILLIS = 60_000;

  /** Loads and heartbeats are sent to other data centres once in this many rounds. */
  private static final int REMOTE_INTERVAL = 5;

  private static final int MAX_MISSED_HEARTBEATS = 3;

  private final NodeContext context;
  private final PeerTransport transport;
  private final Consumer<HostPort> connector;
  private final RoutingTablePublisher tables;
  private final MembershipControl membership;
  private final ConfigControl config;
  private final ControlRowsReader rows;
  private final OwnershipControl ownership;
  private final PlacementControl placement;
  private final BudgetControl budget;
  private final LoadControl loading;
  private final DemandControl demand;
  private final ServerStateExchange states;
  private final RetentionControl retention;
  private final StrikeControl strikes;
  private final Map<String, Long> lastFrameAtMillis = new HashMap<>();
  private boolean dirty = true;
  private volatile boolean configPublished;
  private boolean ordersSuspended;
  private long lastTickMillis;
  private int heartbeatRounds;
  private int reportRounds;

  /**
   * Components and services that the control state depends on.
   *
   * @param transport sends frames to peers
   * @param connector opens connections to peers
   * @param vmList the platform's VM list
   * @param engines creates clients for the control interface of engines
   * @param takeover decides when a server may be taken over from its holder
   * @param tables publishes routing tables to the traffic threads
   * @param loads tracks the load of backend servers
   * @param waitingRequests the waiting requests
   * @param strikes records the requests that may crash backend servers
   * @param random source of random choices
   */
  public record Dependencies(
      PeerTransport transport,
      Consumer<HostPort> connector,
      VmList vmList,
      EngineFactory engines,
      TakeoverRule takeover,
      RoutingTablePublisher tables,
      ServerLoadTracker loads,
      WaitingRequestRegistry waitingRequests,
      StrikeControl strikes,
      RandomGenerator random) {}

  /**
   * Creates the control components; {@link #start} starts their periodic tasks.
   *
   * @param context settings and services that the components share
   * @param deps what the components depend on
   */
  public NodeControl(NodeContext context, Dependencies deps) {
    this.context = context;
    this.transport = deps.transport();
    this.connector = deps.connector();
    this.tables = deps.tables();
    this.strikes = deps.strikes();
    this.config = new ConfigControl(context, this::onConfig);
    this.membership =
        new MembershipControl(context, deps.vmList(), () -> config.catalog().revision());
    this.rows = new ControlRowsReader(context, this::onRowsChanged, this::onRowsPolled);
    this.states = new ServerStateExchange(transport, deps.loads(), this::isLocal);
    this.ownership =
        new OwnershipControl(
            context, membership, rows, deps.engines(), deps.takeover(), this::onServerChange);
    this.placement = new PlacementControl(context, rows);
    this.retention = new RetentionControl(context);
    this.budget = new BudgetControl(context, transport, () -> config.catalog().policy(), this);
    this.loading = new LoadControl(context, budget.permitClient());
    this.demand =
        new DemandControl(
            context, deps.waitingRequests(), transport, ownership, this::ownerOf, deps.random());
    this.lastTickMillis = context.nowMillis();
  }

  /** Starts the periodic tasks. */
  public void start() {
    Timing timing = context.settings().timing();
    ControlThread thread = context.thread();
    thread.schedulePeriodically(timing.renewMillis(), membership::renew);
    thread.schedulePeriodically(timing.pollMillis(), config::poll);
    thread.schedulePeriodically(timing.pollMillis(), rows::poll);
    thread.schedulePeriodically(timing.heartbeatMillis(), this::heartbeat);
    thread.schedulePeriodically(timing.reportMillis(), this::pollServers);
    thread.schedulePeriodically(timing.tickMillis(), this::tick);
    thread.schedulePeriodically(PLAN_INTERVAL_MILLIS, this::plan);
    thread.schedulePeriodically(
        REPUBLISH_INTERVAL_MILLIS, () -> ownership.ownedServers().forEach(OwnedServer::republish));
  }

  /**
   * Returns whether the node has a configuration and may accept requests. While the platform is
   * unavailable, a configuration from a peer suffices and the node needs no lease.
   */
  public boolean isReady() {
    boolean joined = membership.hasJoined() || !context.health().isAvailable();
    return configPublished && joined && !membership.isSuperseded();
  }

  /** Returns whether another process runs under this node's name. */
  public boolean isSuperseded() {
    return membership.isSuperseded();
  }

  /** Returns the component with the leases as last read; call on the control thread. */
  public MembershipControl membership() {
    return membership;
  }

  /** Returns the component with the active configuration; call on the control thread. */
  public ConfigControl config() {
    return config;
  }

  /** Returns the owner of a server, or an empty text if it has none; call on the control thread. */
  public String ownerOf(String server) {
    return rows.ownerRow(server).row().owner();
  }

  /** Marks this node as leaving and releases its servers; call on the control thread. */
  public void leave() {
    membership.leave();
    ownership.review();
  }

  /** Returns whether this node owns, acquires or releases servers; call on the control thread. */
  public boolean hasActiveOwnership() {
    return ownership.hasActiveOwnership();
  }

  /** Sends the demand of waiting requests and orders loads; call on the control thread. */
  public void onFirstWaitingRequest() {
    demand.tick(tables.current());
    orderLoads();
  }

  /** Handles a frame from a peer; call on the control thread. */
  public void onFrame(String node, PeerFrame frame) {
    lastFrameAtMillis.put(node, context.nowMillis());
    switch (frame.getBodyCase()) {
      case HEARTBEAT -> onHeartbeat(node, frame.getHeartbeat());
      case SERVER_STATES -> dirty |= states.onPeerStates(frame.getServerStates());
      case DEMAND_NOTICE -> {
        demand.onNotice(node, frame.getDemandNotice());
        orderLoads();
      }
      case PERMIT_ASK -> budget.onRequest(node, frame.getPermitAsk());
      case PERMIT_GRANT -> {
        budget.onGranted(frame.getPermitGrant().getId());
        orderLoads();
      }
      case PERMIT_RELEASE -> budget.onRelease(frame.getPermitRelease().getId());
      case CONFIG_PULL -> {
        PeerFrame.Builder response =
            PeerFrame.newBuilder()
                .setConfigChanges(config.changesAfter(frame.getConfigPull().getAfterRevision()));
        transport.send(node, response);
      }
      case CONFIG_CHANGES -> config.onPeerChanges(frame.getConfigChanges());
      case CRASH_NEWS -> strikes.onNews(frame.getCrashNews());
      default -> {} // Bodies of newer versions are ignored.
    }
  }

  @Override
  public Set<String> reachableNodes() {
    Set<String> nodes = new TreeSet<>();
    for (String node : transport.connectedNodes()) {
      if (!isUnresponsive(node)) {
        nodes.add(node);
      }
    }
    nodes.add(context.node());
    return nodes;
  }

  @Override
  public double reachableDataCentreShare() {
    Set<String> all = new HashSet<>();
    Set<String> reachable = new HashSet<>();
    Set<String> nodes = reachableNodes();
    all.add(context.dataCentre());
    reachable.add(context.dataCentre());
    for (LeaseRow row : membership.observer().rows()) {
      all.add(row.dataCentre());
      if (nodes.contains(row.node())) {
        reachable.add(row.dataCentre());
      }
    }
    return (double) reachable.size() / all.size();
  }

  private void onConfig() {
    ownership.onCatalog(config.catalog());
    ownership.onRows();
    states.setConfigured(config.catalog().backendServers());
    dirty = true;
  }

  private void onRowsChanged() {
    dirty = true;
  }

  private void onRowsPolled() {
    ordersSuspended = false;
    ownership.onRows();
  }

  private void onServerChange(OwnedServer server, long epoch) {
    states.onOwnChange(server, epoch);
    dirty = true;
  }

  private void tick() {
    long nowMillis = context.nowMillis();
    if (nowMillis - lastTickMillis > context.settings().timing().leaseMillis() / 2) {
      ordersSuspended = true;
      rows.poll();
      ownership.ownedServers().forEach(OwnedServer::republish);
    }
    lastTickMillis = nowMillis;
    connectPeers();
    ownership.review();
    states.sendStatesToNewPeers(ownership.ownedServers());
    ownership.ownedServers().forEach(OwnedServer::pollIfChanging);
    budget.tick();
    publish();
    demand.tick(tables.current());
    orderLoads();
  }

  private void publish() {
    Set<String> leaving = leavingServers();
    if (dirty || !isLeavingUnchanged(leaving)) {
      dirty = false;
      tables.publish(
          new RoutingTable(config.catalog(), rows.placements(), states.views(), leaving));
      configPublished = config.isLoaded();
    }
  }

  private boolean isLeavingUnchanged(Set<String> leaving) {
    return config.catalog().backendServers().stream()
        .allMatch(s -> leaving.contains(s.name()) == tables.current().isLeaving(s.name()));
  }

  private Set<String> leavingServers() {
    Set<String> leaving = new HashSet<>();
    Set<String> leavingVms = membership.leavingVms();
    for (BackendServerRecord server : config.catalog().backendServers()) {
      boolean reportedLeaving = states.view(server.name()).map(ServerView::leaving).orElse(false);
      boolean vmLeaving = leavingVms.contains(server.vm()) || membership.isVmRemoved(server.vm());
      if (server.draining() || reportedLeaving || vmLeaving) {
        leaving.add(server.name());
      }
    }
    return leaving;
  }

  private void orderLoads() {
    if (ordersSuspended || membership.isSuperseded()) {
      return;
    }
    loading.beginRound();
    for (OwnedServer server : ownership.ownedServers()) {
      loading.sendOrders(server, loadInputs(server));
    }
    loading.endRound(ownership.ownedServers(), config.catalog().policy());
  }

  private LoadControl.Inputs loadInputs(OwnedServer server) {
    String name = server.record().name();
    boolean leaving = tables.current().isLeaving(name);
    return new LoadControl.Inputs(
        config.catalog(), rows.placements(), leaving, ownership.epoch(name));
  }

  private void pollServers() {
    ownership.poll();
    boolean allDataCentres = ++reportRounds % REMOTE_INTERVAL == 0;
    states.broadcastLoads(ownership.ownedServers(), allDataCentres);
    for (OwnedServer server : ownership.ownedServers()) {
      placement.freeSlots(loading.drainedSlots(server, loadInputs(server)));
    }
  }

  private void plan() {
    boolean isPlanner = new TreeSet<>(reachableNodes()).first().equals(context.node());
    Catalog catalog = config.catalog();
    if (config.isLoaded() && context.health().isAvailable()) {
      placement.plan(isPlanner, catalog, name -> condition(catalog.backendServer(name)));
      if (isPlanner) {
        retention.runIfDue(catalog.policy().claimRetentionMillis(), membership.observer());
      }
    }
  }

  private ServerCondition condition(Optional<BackendServerRecord> server) {
    if (server.isEmpty()) {
      return ServerCondition.LEAVING;
    }
    if (membership.isVmRemoved(server.get().vm())) {
      return ServerCondition.GONE;
    }
    boolean leaving = tables.current().isLeaving(server.get().name());
    return leaving ? ServerCondition.LEAVING : ServerCondition.AVAILABLE;
  }

  private void heartbeat() {
    Heartbeat body = Heartbeat.newBuilder().setConfigRevision(config.catalog().revision()).build();
    boolean allDataCentres = heartbeatRounds++ % REMOTE_INTERVAL == 0;
    for (String node : transport.connectedNodes()) {
      if (allDataCentres || isLocal(node)) {
        transport.send(node, PeerFrame.newBuilder().setHeartbeat(body));
      }
    }
  }

  private void onHeartbeat(String node, Heartbeat heartbeat) {
    boolean behind = heartbeat.getConfigRevision() > config.catalog().revision();
    boolean platformUnavailable = !context.health().isAvailable();
    if (platformUnavailable && (behind || !config.isLoaded())) {
      ConfigPull pull =
          ConfigPull.newBuilder().setAfterRevision(config.catalog().revision()).build();
      transport.send(node, PeerFrame.newBuilder().setConfigPull(pull));
    } else if (behind) {
      config.poll();
    }
  }

  private void connectPeers() {
    Set<String> connected = transport.connectedNodes();
    for (LeaseRow row :
        membership.observer().recentRows(context.nowMillis(), RECENT_LEASE_MILLIS)) {
      boolean missing = !row.node().equals(context.node()) && !connected.contains(row.node());
      if (missing) {
        HostPort.parse(row.peerAddress()).ifPresent(connector);
      }
    }
    if (connected.isEmpty()) {
      context.settings().peerSeeds().forEach(connector);
    }
  }

  /** Returns whether several heartbeats of a node are missing: it may be paused or unreachable. */
  private boolean isUnresponsive(String node) {
    long intervalMillis =
        context.settings().timing().heartbeatMillis() * (isLocal(node) ? 1 : REMOTE_INTERVAL);
    long sinceFrameMillis = context.nowMillis() - lastFrameAtMillis.getOrDefault(node, 0L);
    return sinceFrameMillis > intervalMillis * MAX_MISSED_HEARTBEATS;
  }

  private boolean isLocal(String node) {
    return membership
        .observer()
        .row(node)
        .map(row -> row.dataCentre().equals(context.dataCentre()))
        .orElse(true);
  }
}
