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
import io.nutmegseam.node.caller.AcceptFilter;
import io.nutmegseam.node.caller.AdmitFilter;
import io.nutmegseam.node.caller.CallerApi;
import io.nutmegseam.node.caller.ClaimFilter;
import io.nutmegseam.node.caller.CompletionDispatch;
import io.nutmegseam.node.caller.Filter;
import io.nutmegseam.node.caller.IdentifyFilter;
import io.nutmegseam.node.caller.RecordFilter;
import io.nutmegseam.node.caller.RouteFilter;
import io.nutmegseam.node.caller.ServiceDispatch;
import io.nutmegseam.node.caller.TargetChooser;
import io.nutmegseam.node.claim.ClaimRegister;
import io.nutmegseam.node.claim.GroupCommit;
import io.nutmegseam.node.control.ControlThread;
import io.nutmegseam.node.control.LoadBoard;
import io.nutmegseam.node.control.MonotonicClock;
import io.nutmegseam.node.control.NodeContext;
import io.nutmegseam.node.control.NodeControl;
import io.nutmegseam.node.control.PlatformHealth;
import io.nutmegseam.node.control.StrikeControl;
import io.nutmegseam.node.control.TableHolder;
import io.nutmegseam.node.control.WaitBoard;
import io.nutmegseam.node.http.WebServer;
import io.nutmegseam.node.log.EventLog;
import io.nutmegseam.node.metrics.NodeMetrics;
import io.nutmegseam.node.operator.NodeQueries;
import io.nutmegseam.node.operator.OperatorApi;
import io.nutmegseam.node.operator.RecordWriter;
import io.nutmegseam.node.peer.PeerIdentity;
import io.nutmegseam.node.peer.PeerNetwork;
import io.nutmegseam.node.peer.PeerTlsContexts;
import io.nutmegseam.node.peer.PeerTraffic;
import io.nutmegseam.node.platform.HttpTableService;
import io.nutmegseam.node.platform.HttpVmList;
import io.nutmegseam.node.settings.NodeSettings;
import java.time.Clock;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.function.Supplier;

/** One node: joins all parts, starts them and stops them without cutting a request. */
public final class NodeDaemon {
  /** Several times the pause between heartbeats of peers. */
  private static final int PEER_SILENCE_SECONDS = 15;

  private static final int OPERATOR_THREADS = 8;
  private static final int OPERATOR_BODY_BYTES = 16 << 20;
  private static final long STOP_POLL_MILLIS = 20;
  private static final long RELEASE_MILLIS = 3_000;
  private static final long FLUSH_MILLIS = 2_000;
  private static final long CLAIM_SLACK_MILLIS = 15_000;

  private final NodeSettings settings;
  private final String incarnation = UUID.randomUUID().toString();
  private final Clock monotonic = new MonotonicClock();
  private final Clock wall = Clock.systemUTC();
  private final HybridClock hybrid = new HybridClock(wall);
  private final EventLog events;
  private final ControlThread thread;
  private final HttpClients clients;
  private final TableHolder tables = new TableHolder();
  private final NodeMetrics metrics = new NodeMetrics();
  private final PeerNetwork network;
  private final NodeContext context;
  private final NodeControl control;
  private final WaitBoard waits;
  private final LoadBoard loads;
  private final StrikeControl strikes;
  private final GroupCommit commits;
  private final AcceptFilter accept;
  private WebServer callerServer;
  private WebServer operatorServer;

  /**
   * Joins the parts of a node; {@link #start} sets them going.
   *
   * @param settings the node's settings
   */
  public NodeDaemon(NodeSettings settings) {
    this.settings = settings;
    this.events = new EventLog(settings.node(), hybrid, settings.limits().timelineEvents());
    this.thread = new ControlThread(events);
    this.clients = HttpClients.create(settings.timing());
    HttpTableService table = new HttpTableService(clients.platform(), settings.platformAddress());
    this.context =
        new NodeContext(
            settings,
            incarnation,
            thread,
            table,
            new PlatformHealth(events),
            monotonic,
            wall,
            events);
    this.network = network();
    this.loads = new LoadBoard(monotonic);
    this.waits = new WaitBoard(monotonic, this::onFirstWaiter);
    this.strikes = new StrikeControl(network, events, monotonic);
    this.control = new NodeControl(context, parts());
    this.commits = new GroupCommit(table);
    this.accept = new AcceptFilter(control::isReady, events);
  }

  /** Starts the node. Returns once it listens; {@code /readyz} tells when it takes requests. */
  public void start() {
    events.record(EventKind.NODE_STARTING, settings.node(), "incarnation " + incarnation);
    metrics.watch(thread, network.traffic(), accept::inFlight);
    network.listen(settings.peerAddress());
    control.start();
    Supplier<Catalog> catalog = () -> tables.current().catalog();
    NodeQueries queries = new NodeQueries(context, control, tables, network, accept);
    RecordWriter writer =
        new RecordWriter(context.table(), catalog, queries::liveNodes, wall, events);
    OperatorApi operators =
        new OperatorApi(settings.operatorToken(), writer, catalog, queries, events, metrics);
    operatorServer =
        new WebServer(
            settings.operatorAddress(), OPERATOR_THREADS, OPERATOR_BODY_BYTES, operators::routes);
    IdentifyFilter identify = new IdentifyFilter(settings, catalog, monotonic);
    CallerApi callers = new CallerApi(settings.node(), accept, identify, path(catalog), catalog);
    callerServer =
        new WebServer(
            settings.callerAddress(),
            settings.limits().workerThreads(),
            settings.limits().bodyBytes(),
            callers::routes);
    events.record(EventKind.NODE_READY, settings.node(), settings.callerAddress().toString());
  }

  /** Stops the node: refuses new requests, finishes those in flight, releases what it holds. */
  public void stop() {
    events.record(EventKind.NODE_STOPPING, settings.node(), accept.inFlight() + " in flight");
    accept.stop();
    await(() -> accept.inFlight() == 0, settings.timing().drainMillis());
    await(() -> accept.unsent() == 0, FLUSH_MILLIS);
    thread.execute(control::leave);
    thread.every(STOP_POLL_MILLIS, control::leave);
    await(() -> !control.holdsServers(), RELEASE_MILLIS);
    events.record(EventKind.NODE_STOPPED, settings.node(), accept.inFlight() + " cut");
    close(callerServer);
    close(operatorServer);
    network.close();
    commits.close();
    thread.close();
    clients.close();
  }

  /** Closes a server, unless the node stops before it was started. */
  private static void close(WebServer server) {
    if (server != null) {
      server.close();
    }
  }

  private Filter path(Supplier<Catalog> catalog) {
    Filter record = new RecordFilter(events, metrics, monotonic);
    Filter admit = new AdmitFilter(tables, waits, monotonic);
    Filter claim = new ClaimFilter(claimRegister());
    RouteFilter route = routeFilter();
    RouteFilter.Dispatch completions =
        new CompletionDispatch(
            new CompletionClient(clients.completions()), catalog, monotonic, events);
    RouteFilter.Dispatch services =
        new ServiceDispatch(new PlainServiceClient(clients.services()), monotonic, events);
    Filter end =
        (call, sink, next) -> route.run(call, sink, call.isCompletion() ? completions : services);
    return Filter.join(record, admit, claim, end);
  }

  private RouteFilter routeFilter() {
    TargetChooser chooser =
        new TargetChooser(settings.dataCentre(), tables, waits, loads, monotonic, new Random());
    return new RouteFilter(
        tables, loads, chooser, new RetryBudget(), strikes, this::isGone, monotonic, events);
  }

  private ClaimRegister claimRegister() {
    return new ClaimRegister(
        settings.node(),
        incarnation,
        context.table(),
        commits,
        this::mayStillRun,
        settings.limits().storedAnswerBytes(),
        wall,
        events);
  }

  private boolean isGone(BackendServerRecord server, String sentTo) {
    try {
      HttpEngine engine = new HttpEngine(clients.orders(), server.address());
      return !engine.inventory().incarnation().equals(sentTo);
    } catch (BackendException e) {
      return true;
    }
  }

  /** A holder may still run its call if its process lives and the call is young. */
  private boolean mayStillRun(ClaimRow row) throws PlatformException {
    if (wall.millis() - row.writtenAtMillis() > callMillis() + CLAIM_SLACK_MILLIS) {
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

  private long callMillis() {
    return tables.current().catalog().maxCallTimeoutMillis();
  }

  private NodeControl.Parts parts() {
    return new NodeControl.Parts(
        network,
        network::connect,
        new HttpVmList(clients.platform(), settings.platformAddress()),
        server -> new HttpEngine(clients.orders(), server.address()),
        TakeoverRule.standard(),
        tables,
        loads,
        waits,
        strikes,
        new Random());
  }

  private PeerNetwork network() {
    PeerIdentity self =
        new PeerIdentity(
            settings.node(), incarnation, settings.dataCentre(), settings.clusterToken());
    return new PeerNetwork(
        self,
        new PeerNetwork.Limits(settings.limits().frameBytes(), PEER_SILENCE_SECONDS),
        hybrid,
        events,
        (node, frame) -> thread.execute(() -> control.onFrame(node, frame)),
        new PeerTlsContexts(settings.peerTls()),
        new PeerTraffic());
  }

  private void onFirstWaiter() {
    thread.execute(control::onFirstWaiter);
  }

  /** A condition that the shutdown waits for. */
  private interface Condition {
    boolean holds();
  }

  private void await(Condition condition, long timeoutMillis) {
    long endMillis = monotonic.millis() + timeoutMillis;
    try {
      while (!condition.holds() && monotonic.millis() < endMillis) {
        Thread.sleep(STOP_POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
