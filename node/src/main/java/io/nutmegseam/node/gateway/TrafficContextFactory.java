package io.nutmegseam.node.gateway;

import io.netty.channel.EventLoop;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.node.allotment.Allotments;
import io.nutmegseam.node.allotment.TenantMetrics;
import io.nutmegseam.node.body.BodyMemory;
import io.nutmegseam.node.connection.ServerConnectionPools;
import io.nutmegseam.node.control.TrafficTimer;
import io.nutmegseam.node.pace.PaceTracker;
import io.nutmegseam.node.pace.RemoteBytes;
import io.nutmegseam.node.peer.PeerNetwork;
import io.nutmegseam.node.quota.SendQuotas;
import java.time.Clock;
import java.time.InstantSource;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Creates the components that requests share. */
final class TrafficContextFactory {
  /** Assumed number of nodes that share fleet-wide limits until their rows have been read. */
  private static final int ASSUMED_NODES = 12;

  private final Dependencies dependencies;
  private final TrafficTimer timer;

  /** What the components have in common. */
  record Dependencies(
      GatewaySettings settings,
      GatewayHeaders headers,
      EventLoop loop,
      InstantSource clock,
      GatewayState state,
      PeerNetwork network,
      Consumer<Incarnation> onServerLeaving,
      EventSink events,
      GatewayMetrics metrics) {}

  /**
   * Creates a factory.
   *
   * @param dependencies what the components have in common
   */
  TrafficContextFactory(Dependencies dependencies) {
    this.dependencies = dependencies;
    this.timer =
        (delayMillis, task) ->
            dependencies.loop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Creates the components, with those that others use too. */
  TrafficContext create(
      ServerConnectionPools pools,
      ServerLoads loads,
      ModelWaitQueue waitQueue,
      CrashGuard crashes) {
    GatewaySettings settings = dependencies.settings();
    InstantSource clock = dependencies.clock();
    SendQuotas quotas = createQuotas(loads);
    TrafficLag lag = createLag();
    ServerReach.Prober prober =
        (server, onOutcome) -> pools.pool(server.host(), server.port()).probe(onOutcome);
    return new TrafficContext(
        dependencies.loop(),
        lag,
        clock,
        dependencies.headers(),
        dependencies.state(),
        BodyMemory.ofHeap(Runtime.getRuntime().maxMemory()),
        pools,
        new ServerChooser(
            settings.dataCentre(),
            loads,
            quotas,
            ThreadLocalRandom.current(),
            clock,
            createPaces()),
        createReach(prober),
        new ListenerWatch(
            new ProcessProber(prober, dependencies.state()),
            (server, onOutcome) -> pools.pool(server.host(), server.port()).hold(onOutcome),
            server -> !dependencies.state().isServingInAnyIncarnation(server),
            lag::isLate,
            clock,
            timer),
        createPeers(loads),
        loads,
        new NamedLimits(dependencies.headers(), quotas, dependencies.events()),
        new LeavingServers(
            dependencies.headers().leaving(),
            dependencies.state(),
            dependencies.onServerLeaving(),
            dependencies.events()),
        quotas,
        new RetryLimiter(
            settings.retryRatio(),
            settings.retrySlack(),
            settings.retryWindowMillis(),
            ASSUMED_NODES,
            clock),
        waitQueue,
        new StreamOrigins(clock, dependencies.state(), dependencies.network(), timer),
        crashes,
        createAllotments(),
        new ArrivalCounts(),
        dependencies.events(),
        dependencies.metrics());
  }

  private TrafficLag createLag() {
    TrafficLag lag =
        new TrafficLag(dependencies.clock(), InstantSource.system(), dependencies.loop(), timer);
    dependencies.loop().execute(lag::start);
    return lag;
  }

  private PaceTracker createPaces() {
    return new PaceTracker(
        dependencies.clock(),
        InstantSource.system(),
        dependencies.settings().longPromptSpread(),
        dependencies.metrics()::onFirstEvent,
        new RemoteBytes(dependencies.settings().dataCentre()),
        dependencies.events());
  }

  private ServerReach createReach(ServerReach.Prober prober) {
    return new ServerReach(
        dependencies.state(),
        dependencies.clock(),
        prober,
        timer,
        new Random(),
        dependencies.events());
  }

  private PeerTargets createPeers(ServerLoads loads) {
    PeerNetwork network = dependencies.network();
    return new PeerTargets(
        new PeerTargets.NodeSelf(
            dependencies.settings().node(), dependencies.settings().dataCentre()),
        network,
        network::connect,
        loads,
        new Random(),
        dependencies.clock());
  }

  private Allotments createAllotments() {
    PeerNetwork network = dependencies.network();
    return new Allotments(
        new Allotments.Dependencies(
            dependencies.settings().node(),
            dependencies.settings().dataCentre(),
            network,
            network::connect,
            dependencies.clock(),
            Clock.systemUTC(),
            timer,
            dependencies.state()::config,
            dependencies.settings().allotmentRules(),
            new TenantMetrics(dependencies.metrics()::tenantCounter),
            dependencies.events()));
  }

  private SendQuotas createQuotas(ServerLoads loads) {
    PeerNetwork network = dependencies.network();
    GatewayState state = dependencies.state();
    return new SendQuotas(
        new SendQuotas.Dependencies(
            dependencies.settings().node(),
            network,
            network::connect,
            dependencies.clock(),
            timer,
            state::isListed,
            server -> loads.outstanding(server.id()),
            state::setLimits,
            dependencies.events()));
  }
}
