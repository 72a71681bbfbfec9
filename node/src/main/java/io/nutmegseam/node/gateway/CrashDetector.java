package io.nutmegseam.node.gateway;

import io.nutmegseam.core.crash.CrashReport;
import io.nutmegseam.core.crash.Fingerprint;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.control.TrafficTimer;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Tells a server that has crashed from one whose connection was lost. A server has crashed if it
 * refuses connections right after the loss, or if the loss is followed by the end of its entry or
 * by its next start. A server that was draining or no longer listed has stopped as planned. To a
 * node that reaches less than half of the servers, refused connections show nothing. Confined to
 * the traffic thread.
 */
final class CrashDetector {
  /** The listener of a process that ends may outlive its connections for a moment. */
  private static final long[] PROBE_DELAYS_MILLIS = {10, 150};

  /** Time for the entry of a crashed server to lapse, or for the server to start again. */
  private static final long EVIDENCE_MILLIS = 8_000;

  private static final long CHECK_INTERVAL_MILLIS = 250;
  private static final int MAX_LOSSES = 256;

  private final InstantSource clock;
  private final GatewayState state;
  private final Prober prober;
  private final TrafficTimer timer;
  private final BiConsumer<CrashReport, String> onCrash;
  private final Map<Incarnation, Loss> lossByServer = new HashMap<>();
  private boolean checkScheduled;

  /** Opens a connection to a server to learn whether it listens. */
  @FunctionalInterface
  interface Prober {
    /**
     * Tries to connect.
     *
     * @param onOutcome receives whether the server listens, or empty if it did not respond
     */
    void probe(ServerEntry server, Consumer<Optional<Boolean>> onOutcome);
  }

  /** Lost connections of one process. */
  private static final class Loss {
    private final ServerEntry server;
    private final long sinceMillis;
    private final Map<Fingerprint, Integer> suspects = new HashMap<>();
    private boolean crashed;

    private Loss(ServerEntry server, long sinceMillis) {
      this.server = server;
      this.sinceMillis = sinceMillis;
    }
  }

  /**
   * Creates a detector without losses.
   *
   * @param clock monotonic clock
   * @param state the listed servers
   * @param prober connects to servers
   * @param timer runs delayed tasks on the traffic thread
   * @param onCrash receives each crash with its suspects, and by what it shows
   */
  CrashDetector(
      InstantSource clock,
      GatewayState state,
      Prober prober,
      TrafficTimer timer,
      BiConsumer<CrashReport, String> onCrash) {
    this.clock = clock;
    this.state = state;
    this.prober = prober;
    this.timer = timer;
    this.onCrash = onCrash;
  }

  /** Handles a connection that was lost while the server ran a request. */
  void onConnectionLost(ServerEntry server, RequestFingerprints fingerprints) {
    Loss loss = lossByServer.get(server.incarnation());
    if (loss == null) {
      if (!state.isServing(server) || lossByServer.size() >= MAX_LOSSES) {
        return;
      }
      loss = new Loss(server, clock.millis());
      lossByServer.put(server.incarnation(), loss);
      probe(loss, 0);
      scheduleCheck();
    }
    int before = loss.suspects.size();
    loss.suspects.putAll(fingerprints.specificities());
    if (loss.crashed && loss.suspects.size() > before) {
      report(loss, "connection lost at the crash");
    }
  }

  /** Returns whether a connection of a server was lost and it may turn out to have crashed. */
  boolean isSuspected(ServerEntry server) {
    return lossByServer.containsKey(server.incarnation());
  }

  private void probe(Loss loss, int attempt) {
    timer.schedule(
        PROBE_DELAYS_MILLIS[attempt],
        () -> prober.probe(loss.server, listens -> onProbed(loss, attempt, listens)));
  }

  private void onProbed(Loss loss, int attempt, Optional<Boolean> listens) {
    boolean pending = !loss.crashed && lossByServer.get(loss.server.incarnation()) == loss;
    boolean last = attempt + 1 == PROBE_DELAYS_MILLIS.length;
    if (!pending) {
      return;
    }
    boolean refused = listens.equals(Optional.of(false));
    if (refused && state.isServing(loss.server) && state.reachesServers()) {
      loss.crashed = true;
      report(loss, "connection refused");
    } else if (!last) {
      probe(loss, attempt + 1);
    } else if (listens.equals(Optional.of(true))) {
      lossByServer.remove(loss.server.incarnation());
    }
  }

  private void report(Loss loss, String evidence) {
    ServerEntry server = loss.server;
    onCrash.accept(
        new CrashReport(
            server.incarnation().toString(), CrashGuard.software(server), loss.suspects),
        evidence);
  }

  private void scheduleCheck() {
    if (!checkScheduled) {
      checkScheduled = true;
      timer.schedule(CHECK_INTERVAL_MILLIS, this::check);
    }
  }

  /** Looks at the list of servers for the outcome of losses that probes did not settle. */
  private void check() {
    checkScheduled = false;
    long nowMillis = clock.millis();
    lossByServer.values().removeIf(loss -> nowMillis - loss.sinceMillis > EVIDENCE_MILLIS);
    lossByServer.values().removeIf(loss -> !loss.crashed && settleByList(loss));
    if (!lossByServer.isEmpty()) {
      scheduleCheck();
    }
  }

  /**
   * Settles a loss by the list of servers: a process that is no longer listed has crashed, and one
   * that is draining will stop as planned.
   *
   * @return whether the loss is settled
   */
  private boolean settleByList(Loss loss) {
    Optional<ServerEntry> entry = state.fleet().entry(loss.server.incarnation().id());
    boolean running =
        entry.filter(e -> e.incarnation().equals(loss.server.incarnation())).isPresent();
    if (!running) {
      report(loss, entry.isPresent() ? "started again" : "entry lapsed");
    }
    return !running || entry.get().draining();
  }
}
