package io.nutmegseam.node.daemon;

import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.claim.ClaimRow;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.HybridClock;
import io.nutmegseam.core.lease.LeaseRow;
import io.nutmegseam.core.ownership.TakeoverRule;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.RowCodec;
import io.nutmegseam.core.retry.RetryBudget;
import io.nutmegseam.node.backend.CompletionClient;
import io.nutmegseam.node.backend.HttpEngine;
import io.nutmegseam.node.backend.PlainServiceClient;
import io.nutmegseam.node.caller.AdmissionFilter;
import io.nutmegseam.node.caller.CallerApi;
import io.nutmegseam.node.caller.ClaimFilter;
import io.nutmegseam.node.caller.CompletionDispatch;
import io.nutmegseam.node.caller.Filter;
import io.nutmegseam.node.caller.RequestAcceptor;
import io.nutmegseam.node.caller.RequestLogFilter;
import io.nutmegseam.node.caller.RequestParser;
import io.nutmegseam.node.caller.RequestRouter;
import io.nutmegseam.node.caller.ServiceDispatch;
import io.nutmegseam.node.caller.TargetChooser;
import io.nutmegseam.node.claim.ClaimRegistry;
import io.nutmegseam.node.claim.GroupCommitter;
import io.nutmegseam.node.control.ControlThread;
import io.nutmegseam.node.control.MonotonicClock;
import io.nutmegseam.node.control.NodeContext;
import io.nutmegseam.node.control.NodeControl;
import io.nutmegseam.node.control.PlatformHealth;
import io.nutmegseam.node.control.RoutingTablePublisher;
import io.nutmegseam.node.control.ServerLoadTracker;
import io.nutmegseam.node.control.StrikeControl;
import io.nutmegseam.node.control.WaitingRequestRegistry;
import io.nutmegseam.node.http.WebServer;
import io.nutmegseam.node.log.EventLog;
import io.nutmegseam.node.metrics.NodeMetrics;
import io.nutmegseam.node.operator.NodeQueries;
import io.nutmegseam.node.operator.OperatorApi;
import io.nutmegseam.node.operator.RecordWriter;
import io.nutmegseam.node.peer.PeerIdentity;
import io.nutmegseam.node.peer.PeerNetwork;
import io.nutmegseam.node.peer.PeerTlsContexts;
import io.nutmegseam.node.peer.PeerTrafficCounter;
import io.nutmegseam.node.platform.HttpTableService;
import io.nutmegseam.node.platform.HttpVmList;
import io.nutmegseam.node.settings.NodeSettings;
import java.time.Clock;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.function.Supplier;

/** Creates, starts and stops the components of a node. A stop waits for the requests in flight. */
public final class NodeDaemon {
  /** Several times the interval between peer heartbeats, also between data centres. */
  private static final int PEER_IDLE_TIMEOUT_SECONDS = 15;

  private static final int OPERATOR_THREADS = 8;
  private static final int OPERATOR_BODY_BYTES = 16 << 20;
  private static final long STOP_POLL_MILLIS = 20;
  private static final long RELEASE_TIMEOUT_MILLIS = 3_000;
  private static final long FLUSH_TIMEOUT_MILLIS = 2_000;
  private static final long CLAIM_SLACK_MILLIS = 15_000;

  private final NodeSettings settings;
  private final String incarnation = UUID.randomUUID().toString();
  private final Clock monotonicClock = new MonotonicClock();
  private final Clock wallClock = Clock.systemUTC();
  private final HybridClock hybridClock = new HybridClock(wallClock);
  private final EventLog events;
  private final ControlThread controlThread;
  private final HttpClients clients;
  private final RoutingTablePublisher routingTables = new RoutingTablePublisher();
  private final NodeMetrics metrics = new NodeMetrics();
  private final PeerNetwork network;
  private final NodeContext context;
  private final NodeControl control;
  private final WaitingRequestRegistry waitingRequests;
  private final ServerLoadTracker serverLoads;
  private final StrikeControl strikes;
  private final GroupCommitter groupCommit;
  private final RequestAcceptor acceptor;
  private WebServer callerServer;
  private WebServer operatorServer;

  /**
   * Creates the components of a node; {@link #start} starts them.
   *
   * @param settings the node's settings
   */
  public NodeDaemon(NodeSettings settings) {
    this.settings = settings;
    this.events = new EventLog(settings.node(), hybridClock, settings.limits().timelineEvents());
    this.controlThread = new ControlThread(events);
    this.clients = HttpClients.create(settings.timing());
    HttpTableService table = new HttpTableService(clients.platform(), settings.platformAddress());
    this.context =
        new NodeContext(
            settings,
            incarnation,
            controlThread,
            table,
            new PlatformHealth(events),
            monotonicClock,
            wallClock,
            events);
    this.network = createNetwork();
    this.serverLoads = new ServerLoadTracker(monotonicClock);
    this.waitingRequests = new WaitingRequestRegistry(monotonicClock, this::notifyFirstWaiter);
    this.strikes = new StrikeControl(network, events, monotonicClock);
    this.control = new NodeControl(context, controlDependencies());
    this.groupCommit = new GroupCommitter(table);
    this.acceptor = new RequestAcceptor(control::isReady, events);
  }

  /**
   * Starts the node and returns when it listens. {@code /readyz} reports when it accepts requests.
   */
  public void start() {
    events.record(EventKind.NODE_STARTING, settings.node(), "incarnation " + incarnation);
    metrics.registerControlMetrics(controlThread, network.traffic(), acceptor::inFlight);
    network.listen(settings.peerAddress());
    control.start();
    Supplier<Catalog> catalog = () -> routingTables.current().catalog();
    NodeQueries queries = new NodeQueries(context, control, routingTables, network, acceptor);
    RecordWriter writer =
        new RecordWriter(context.table(), catalog, queries::liveNodes, wallClock, events);
    OperatorApi operators =
        new OperatorApi(settings.operatorToken(), writer, catalog, queries, events, metrics);
    operatorServer =
        new WebServer(
            settings.operatorAddress(),
            OPERATOR_THREADS,
            OPERATOR_BODY_BYTES,
            operators::registerRoutes);
    RequestParser parser = new RequestParser(settings, catalog, monotonicClock);
    CallerApi callers =
        new CallerApi(settings.node(), acceptor, parser, filterChain(catalog), catalog);
    callerServer =
        new WebServer(
            settings.callerAddress(),
            settings.limits().workerThreads(),
            settings.limits().bodyBytes(),
            callers::registerRoutes);
    events.record(EventKind.NODE_READY, settings.node(), settings.callerAddress().toString());
  }

  /**
   * Stops the node: refuses new requests, waits for those in flight, and releases its lease and
   * backend servers.
   */
  public void stop() {
    events.record(
        EventKind.NODE_STOPPING, settings.node(), acceptor.inFlight() + " requests in flight");
    acceptor.stop();
    await(() -> acceptor.inFlight() == 0, settings.timing().drainMillis());
    await(() -> acceptor.pendingResponses() == 0, FLUSH_TIMEOUT_MILLIS);
    controlThread.execute(control::leave);
    controlThread.schedulePeriodically(STOP_POLL_MILLIS, control::leave);
    await(() -> !control.hasActiveOwnership(), RELEASE_TIMEOUT_MILLIS);
    events.record(
        EventKind.NODE_STOPPED, settings.node(), acceptor.inFlight() + " requests aborted");
    close(callerServer);
    close(operatorServer);
    network.close();
    groupCommit.close();
    controlThread.close();
    clients.close();
  }

  /** Closes a server; does nothing if the node stops before the server was started. */
  private static void close(WebServer server) {
    if (server != null) {
      server.close();
    }
  }

  private Filter filterChain(Supplier<Catalog> catalog) {
    Filter record = new RequestLogFilter(events, metrics, monotonicClock);
    Filter admit = new AdmissionFilter(routingTables, waitingRequests, monotonicClock);
    Filter claim = new ClaimFilter(createClaimRegistry());
    RequestRouter router = createRouter();
    RequestRouter.Dispatch completions =
        new CompletionDispatch(
            new CompletionClient(clients.completions()), catalog, monotonicClock, events);
    RequestRouter.Dispatch services =
        new ServiceDispatch(new PlainServiceClient(clients.services()), monotonicClock, events);
    Filter dispatch =
        (request, sink, next) ->
            router.run(request, sink, request.isCompletion() ? completions : services);
    return Filter.chain(record, admit, claim, dispatch);
  }

  private RequestRouter createRouter() {
    TargetChooser chooser =
        new TargetChooser(
            settings.dataCentre(),
            routingTables,
            waitingRequests,
            serverLoads,
            monotonicClock,
            new Random());
    return new RequestRouter(
        routingTables,
        serverLoads,
        chooser,
        new RetryBudget(),
        strikes,
        this::hasCrashed,
        monotonicClock,
        events);
  }

  private ClaimRegistry createClaimRegistry() {
    return new ClaimRegistry(
        settings.node(),
        incarnation,
        context.table(),
        groupCommit,
        this::mayStillRun,
        settings.limits().storedAnswerBytes(),
        wallClock,
        events);
  }

  /** Returns whether an engine does not respond, or responds under another incarnation. */
  private boolean hasCrashed(BackendServerRecord server, String engineIncarnation) {
    try {
      HttpEngine engine = new HttpEngine(clients.orders(), server.address());
      return !engine.inventory().incarnation().equals(engineIncarnation);
    } catch (BackendException e) {
      return true;
    }
  }

  /**
   * Returns whether the node that wrote a claim may still run the call: no more than the longest
   * call time and {@link #CLAIM_SLACK_MILLIS} have passed, and the node's lease row names the same
   * incarnation.
   */
  private boolean mayStillRun(ClaimRow row) throws PlatformException {
    if (wallClock.millis() - row.writtenAtMillis() > longestCallMillis() + CLAIM_SLACK_MILLIS) {
      return false;
    }
    for (Row lease : context.table().range(LeaseRow.PREFIX, 0, Integer.MAX_VALUE)) {
      Optional<LeaseRow> holder = RowCodec.decode(lease.value(), LeaseRow.class);
      if (holder.filter(h -> h.node().equals(row.node())).isPresent()) {
        return holder.get().incarnation().equals(row.incarnation());
      }
    }
    return false;
  }

  private long longestCallMillis() {
    return routingTables.current().catalog().maxCallTimeoutMillis();
  }

  private NodeControl.Dependencies controlDependencies() {
    return new NodeControl.Dependencies(
        network,
        network::connect,
        new HttpVmList(clients.platform(), settings.platformAddress()),
        server -> new HttpEngine(clients.orders(), server.address()),
        TakeoverRule.standard(),
        routingTables,
        serverLoads,
        waitingRequests,
        strikes,
        new Random());
  }

  private PeerNetwork createNetwork() {
    PeerIdentity self =
        new PeerIdentity(
            settings.node(), incarnation, settings.dataCentre(), settings.clusterToken());
    return new PeerNetwork(
        self,
        new PeerNetwork.Limits(settings.limits().frameBytes(), PEER_IDLE_TIMEOUT_SECONDS),
        hybridClock,
        events,
        (node, frame) -> controlThread.execute(() -> control.onFrame(node, frame)),
        new PeerTlsContexts(settings.peerTls()),
        new PeerTrafficCounter());
  }

  private void notifyFirstWaiter() {
    controlThread.execute(control::onFirstWaitingRequest);
  }

  /** A condition that {@link #stop} waits for. */
  private interface Condition {
    boolean isMet();
  }

  private void await(Condition condition, long timeoutMillis) {
    long endMillis = monotonicClock.millis() + timeoutMillis;
    try {
      while (!condition.isMet() && monotonicClock.millis() < endMillis) {
        Thread.sleep(STOP_POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
