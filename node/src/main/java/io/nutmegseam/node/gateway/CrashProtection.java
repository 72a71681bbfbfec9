package io.nutmegseam.node.gateway;

import io.netty.channel.EventLoop;
import io.nutmegseam.core.crash.Fingerprint;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.VersionHistory;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.connection.ServerConnectionPools;
import io.nutmegseam.node.control.ControlThread;
import io.nutmegseam.node.control.TrafficTimer;
import io.nutmegseam.node.crash.CrashControl;
import io.nutmegseam.node.crash.VerdictStore;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.CrashNews;
import io.nutmegseam.node.rows.TableUpdate;
import java.time.Clock;
import java.time.InstantSource;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * The components that keep requests that crash servers away from the servers: the guard on the
 * traffic thread, and the control on the control thread. Confined to the control thread.
 */
final class CrashProtection {
  /** Time for the list of servers to settle after it was out of date. */
  private static final long LIST_SETTLE_MILLIS = 5_000;

  private final InstantSource clock;
  private final GatewayState state;
  private final CrashControl control;
  private final CrashGuard guard;
  private long listOutdatedMillis;

  /** Collaborators of the components. */
  record Dependencies(
      EventLoop loop,
      ControlThread thread,
      InstantSource clock,
      GatewayState state,
      ServerConnectionPools pools,
      ServerLoads loads,
      PeerTransport peers,
      VerdictStore.RowWriter writer,
      EventSink events) {}

  /**
   * Creates the components.
   *
   * @param dependencies collaborators of the components
   */
  CrashProtection(Dependencies dependencies) {
    this.clock = dependencies.clock();
    this.state = dependencies.state();
    this.listOutdatedMillis = clock.millis();
    this.guard = createGuard(dependencies);
    EventLoop loop = dependencies.loop();
    this.control =
        new CrashControl(
            dependencies.peers(),
            clock,
            Clock.systemUTC(),
            new VerdictStore(
                dependencies.writer(),
                dependencies.thread()::execute,
                clock,
                ThreadLocalRandom.current(),
                dependencies.events()),
            new CrashControl.Sink(
                view -> loop.execute(() -> guard.onView(view)),
                report -> loop.execute(() -> guard.onReport(report)),
                (fingerprint, software) ->
                    loop.execute(() -> guard.grantTrial(fingerprint, software))),
            dependencies.events());
  }

  private CrashGuard createGuard(Dependencies dependencies) {
    ControlThread thread = dependencies.thread();
    ServerConnectionPools pools = dependencies.pools();
    TrafficTimer timer =
        (delayMillis, task) ->
            dependencies.loop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    ServerReach.Prober prober =
        (server, onOutcome) ->
            pools
                .pool(server.host(), server.port())
                .probe(
                    listens -> {
                      if (listens.equals(Optional.of(false))) {
                        dependencies.loads().onRefused(server.incarnation().id());
                      }
                      onOutcome.accept(listens);
                    });
    CrashDetector detector =
        new CrashDetector(
            clock,
            state,
            new ProcessProber(prober, state)::probe,
            timer,
            (report, evidence) -> thread.execute(() -> control.onCrash(report, evidence)));
    return new CrashGuard(
        new TrialPermits(clock),
        detector,
        timer,
        new CrashGuard.Listener() {
          @Override
          public void onSuccess(String software, Collection<Fingerprint> fingerprints) {
            thread.execute(() -> control.onSuccess(software, fingerprints));
          }

          @Override
          public void onRefusal(Fingerprint fingerprint, Collection<String> software) {
            thread.execute(() -> control.onRefusal(fingerprint, software));
          }
        });
  }

  /** Returns the guard, which is confined to the traffic thread. */
  CrashGuard guard() {
    return guard;
  }

  /** Handles what another node has learned of crashes. */
  void onNews(String node, CrashNews news) {
    control.onNews(node, news);
  }

  /** Applies rows of the project's own table. */
  void onRows(TableUpdate<Row> update) {
    control.onRows(update.items(), update.full());
  }

  /**
   * Reaches the verdicts that are due.
   *
   * @param listAgeMillis age of the list of servers, in milliseconds
   */
  void tick(long listAgeMillis) {
    long nowMillis = clock.millis();
    if (listAgeMillis > VersionHistory.MAX_AGE_MILLIS) {
      listOutdatedMillis = nowMillis;
    }
    boolean settled = nowMillis - listOutdatedMillis >= LIST_SETTLE_MILLIS;
    control.tick(process -> settled && state.isListed(process));
  }
}
