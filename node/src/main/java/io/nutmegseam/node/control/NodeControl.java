package io.nutmegseam.node.control;

import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.lease.LeaseRow;
import io.nutmegseam.core.ownership.TakeoverRule;
import io.nutmegseam.core.placement.PlacementPlanner.ServerCondition;
import io.nutmegseam.core.platform.VmList;
import io.nutmegseam.node.peer.Outbox;
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

/** The control state of a node: joins its parts and runs their rounds on the control thread. */
public final class NodeControl implements BudgetControl.Reachability {
  private static final long PLAN_MILLIS = 500;
  private static final long REPEAT_MILLIS = 20_000;
  private static final long RECENT_MILLIS = 60_000;

  /** Loads and heartbeats go to other data centres once in this many rounds. */
  private static final int FAR_INTERVAL = 5;

  private static final int MISSED_HEARTBEATS = 3;

  private final NodeContext context;
  private final Outbox outbox;
  private final Consumer<HostPort> connector;
  private final TableHolder tables;
  private final MembershipControl membership;
  private final ConfigControl config;
  private final ControlRowsReader rows;
  private final OwnershipControl ownership;
  private final PlacementControl placement;
  private final BudgetControl budget;
  private final LoadControl loading;
  private final DemandControl demand;
  private final ServerStateShare states;
  private final RetentionControl retention;
  private final StrikeControl strikes;
  private final Map<String, Long> heardAtMillis = new HashMap<>();
  private boolean dirty = true;
  private volatile boolean published;
  private boolean ordersSuspended;
  private long lastTickMillis;
  private int heartbeats;
  private int reports;

  /**
   * What the control state is made of.
   *
   * @param outbox sends frames to peers
   * @param connector opens connections to peers
   * @param vmList the platform's VM list
   * @param engines gives the control interfaces of engines
   * @param takeover says when a server may be taken from its holder
   * @param tables receives routing tables
   * @param loads the load of backend servers
   * @param waits the waiting requests
   * @param strikes suspected requests
   * @param random source of random choices
   */
  public record Parts(
      Outbox outbox,
      Consumer<HostPort> connector,
      VmList vmList,
      EngineDirectory engines,
      TakeoverRule takeover,
      TableHolder tables,
      ServerLoadTracker loads,
      WaitingRequestRegistry waits,
      StrikeControl strikes,
      RandomGenerator random) {}

  /**
   * Creates the control state; {@link #start} sets it going.
   *
   * @param context what every part works with
   * @param parts what it is made of
   */
  public NodeControl(NodeContext context, Parts parts) {
    this.context = context;
    this.outbox = parts.outbox();
    this.connector = parts.connector();
    this.tables = parts.tables();
    this.strikes = parts.strikes();
    this.config = new ConfigControl(context, this::onConfig);
    this.membership =
        new MembershipControl(context, parts.vmList(), () -> config.catalog().revision());
    this.rows = new ControlRowsReader(context, this::onRows, this::onRowsConfirmed);
    this.states = new ServerStateShare(outbox, parts.loads(), this::isNear);
    this.ownership =
        new OwnershipControl(
            context, membership, rows, parts.engines(), parts.takeover(), this::onServerChange);
    this.placement = new PlacementControl(context, rows);
    this.retention = new RetentionControl(context);
    this.budget = new BudgetControl(context, outbox, () -> config.catalog().policy(), this);
    this.loading = new LoadControl(context, budget.permitClient());
    this.demand =
        new DemandControl(context, parts.waits(), outbox, ownership, this::ownerOf, parts.random());
    this.lastTickMillis = context.nowMillis();
  }

  /** Starts the rounds. */
  public void start() {
    Timing timing = context.settings().timing();
    ControlThread thread = context.thread();
    thread.every(timing.renewMillis(), membership::renew);
    thread.every(timing.pollMillis(), config::poll);
    thread.every(timing.pollMillis(), rows::poll);
    thread.every(timing.heartbeatMillis(), this::heartbeat);
    thread.every(timing.reportMillis(), this::pollServers);
    thread.every(timing.tickMillis(), this::tick);
    thread.every(PLAN_MILLIS, this::plan);
    thread.every(REPEAT_MILLIS, () -> ownership.owned().forEach(OwnedServer::announce));
  }

  /**
   * Returns whether the node knows the configuration and may take requests. While the platform is
   * out, a configuration from a peer suffices.
   */
  public boolean isReady() {
    boolean joined = membership.hasJoined() || !context.health().isAvailable();
    return published && joined && !membership.isSuperseded();
  }

  /** Returns whether another process runs under this node's name. */
  public boolean isSuperseded() {
    return membership.isSuperseded();
  }

  /** Returns the leases as last read; call on the control thread. */
  public MembershipControl membership() {
    return membership;
  }

  /** Returns the configuration; call on the control thread. */
  public ConfigControl config() {
    return config;
  }

  /** Returns the owner of a server as the rows say; empty for none. Call on the control thread. */
  public String ownerOf(String server) {
    return rows.ownerRow(server).row().owner();
  }

  /** Begins to give up this node's lease and servers; call on the control thread. */
  public void leave() {
    membership.leave();
    ownership.review();
  }

  /** Returns whether the node still holds a server; call on the control thread. */
  public boolean holdsServers() {
    return ownership.holdsAny();
  }

  /** Sends the demand of waiting requests at once; call on the control thread. */
  public void onFirstWaiter() {
    demand.tick(tables.current());
    orderLoads();
  }

  /** Takes in a frame of a peer; call on the control thread. */
  public void onFrame(String node, PeerFrame frame) {
    heardAtMillis.put(node, context.nowMillis());
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
        PeerFrame.Builder answer =
            PeerFrame.newBuilder()
                .setConfigChanges(config.changesFor(frame.getConfigPull().getAfterRevision()));
        outbox.send(node, answer);
      }
      case CONFIG_CHANGES -> config.onPeerChanges(frame.getConfigChanges());
      case STRIKE_NOTICE -> strikes.onNotice(frame.getStrikeNotice());
      default -> {
        // A body of a newer version.
      }
    }
  }

  @Override
  public Set<String> reachableNodes() {
    Set<String> nodes = new TreeSet<>();
    for (String node : outbox.connected()) {
      if (!isSilent(node)) {
        nodes.add(node);
      }
    }
    nodes.add(context.node());
    return nodes;
  }

  @Override
  public double reachableDataCentreShare() {
    Set<String> all = new HashSet<>();
    Set<String> inReach = new HashSet<>();
    Set<String> nodes = reachableNodes();
    all.add(context.dataCentre());
    inReach.add(context.dataCentre());
    for (LeaseRow row : membership.observer().rows()) {
      all.add(row.dataCentre());
      if (nodes.contains(row.node())) {
        inReach.add(row.dataCentre());
      }
    }
    return (double) inReach.size() / all.size();
  }

  private void onConfig() {
    ownership.onCatalog(config.catalog());
    ownership.onRows();
    states.retain(config.catalog().backendServers());
    dirty = true;
  }

  private void onRows() {
    dirty = true;
  }

  private void onRowsConfirmed() {
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
      ownership.owned().forEach(OwnedServer::announce);
    }
    lastTickMillis = nowMillis;
    connectPeers();
    ownership.review();
    states.greetNewPeers(ownership.owned());
    ownership.owned().forEach(OwnedServer::pollIfChanging);
    budget.tick();
    publish();
    demand.tick(tables.current());
    orderLoads();
  }

  private void publish() {
    Set<String> leaving = leavingServers();
    if (dirty || !sameLeaving(leaving)) {
      dirty = false;
      tables.publish(
          new RoutingTable(config.catalog(), rows.placements(), states.views(), leaving));
      published = config.isLoaded();
    }
  }

  private boolean sameLeaving(Set<String> leaving) {
    return config.catalog().backendServers().stream()
        .allMatch(s -> leaving.contains(s.name()) == tables.current().isLeaving(s.name()));
  }

  private Set<String> leavingServers() {
    Set<String> leaving = new HashSet<>();
    Set<String> leavingVms = membership.leavingVms();
    for (BackendServerRecord server : config.catalog().backendServers()) {
      ServerView view = states.views().get(server.name());
      boolean saysSo = view != null && view.leaving();
      boolean vmLeaves = leavingVms.contains(server.vm()) || membership.isVmGone(server.vm());
      if (server.draining() || saysSo || vmLeaves) {
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
    for (OwnedServer server : ownership.owned()) {
      loading.sendOrders(server, grounds(server));
    }
    loading.endRound(ownership.owned(), config.catalog().policy());
  }

  private LoadControl.Inputs grounds(OwnedServer server) {
    String name = server.record().name();
    boolean leaving = tables.current().isLeaving(name);
    return new LoadControl.Inputs(
        config.catalog(), rows.placements(), leaving, ownership.epoch(name));
  }

  private void pollServers() {
    ownership.poll();
    boolean far = ++reports % FAR_INTERVAL == 0;
    states.shareLoads(ownership.owned(), far);
    for (OwnedServer server : ownership.owned()) {
      placement.freeSlots(loading.drainedSlots(server, grounds(server)));
    }
  }

  private void plan() {
    boolean planner = new TreeSet<>(reachableNodes()).first().equals(context.node());
    Catalog catalog = config.catalog();
    if (config.isLoaded() && context.health().isAvailable()) {
      placement.plan(planner, catalog, name -> condition(catalog.backendServer(name)));
      if (planner) {
        retention.runIfDue(catalog.policy().claimRetentionMillis(), membership.observer());
      }
    }
  }

  private ServerCondition condition(Optional<BackendServerRecord> server) {
    if (server.isEmpty()) {
      return ServerCondition.LEAVING;
    }
    if (membership.isVmGone(server.get().vm())) {
      return ServerCondition.GONE;
    }
    boolean leaving = tables.current().isLeaving(server.get().name());
    return leaving ? ServerCondition.LEAVING : ServerCondition.AVAILABLE;
  }

  private void heartbeat() {
    Heartbeat beat = Heartbeat.newBuilder().setConfigRevision(config.catalog().revision()).build();
    boolean far = heartbeats++ % FAR_INTERVAL == 0;
    for (String node : outbox.connected()) {
      if (far || isNear(node)) {
        outbox.send(node, PeerFrame.newBuilder().setHeartbeat(beat));
      }
    }
  }

  private void onHeartbeat(String node, Heartbeat beat) {
    boolean behind = beat.getConfigRevision() > config.catalog().revision();
    boolean platformSilent = !context.health().isAvailable();
    if (platformSilent && (behind || !config.isLoaded())) {
      ConfigPull pull =
          ConfigPull.newBuilder().setAfterRevision(config.catalog().revision()).build();
      outbox.send(node, PeerFrame.newBuilder().setConfigPull(pull));
    } else if (behind) {
      config.poll();
    }
  }

  private void connectPeers() {
    Set<String> connected = outbox.connected();
    for (LeaseRow row : membership.observer().recent(context.nowMillis(), RECENT_MILLIS)) {
      boolean missing = !row.node().equals(context.node()) && !connected.contains(row.node());
      if (missing) {
        HostPort.parse(row.peerAddress()).ifPresent(connector);
      }
    }
    if (connected.isEmpty()) {
      context.settings().peerSeeds().forEach(connector);
    }
  }

  /** A node is silent if several of its heartbeats are missing; it may be paused or cut off. */
  private boolean isSilent(String node) {
    long intervalMillis =
        context.settings().timing().heartbeatMillis() * (isNear(node) ? 1 : FAR_INTERVAL);
    long silentMillis = context.nowMillis() - heardAtMillis.getOrDefault(node, 0L);
    return silentMillis > intervalMillis * MISSED_HEARTBEATS;
  }

  private boolean isNear(String node) {
    return membership
        .observer()
        .row(node)
        .map(row -> row.dataCentre().equals(context.dataCentre()))
        .orElse(true);
  }
}
