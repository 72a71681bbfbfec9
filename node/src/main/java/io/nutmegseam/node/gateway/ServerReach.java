package io.nutmegseam.node.gateway;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.control.TrafficTimer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Tells whether this node reaches any server. When a connection to one fails, or one is silent, the
 * node opens connections to a few others: a failure of all of them means that the node is cut off,
 * or that all servers are down. Confined to the traffic thread.
 */
final class ServerReach {
  private static final int SAMPLE_SIZE = 3;

  /** Interval at which a node that reaches no server looks again. */
  private static final long RECHECK_MILLIS = 250;

  private final GatewayState state;
  private final Prober prober;
  private final TrafficTimer timer;
  private final Random random;
  private final EventSink events;
  private boolean checking;
  private boolean cutOff;

  /** Opens a connection to a server to learn whether this node reaches it. */
  @FunctionalInterface
  interface Prober {
    /**
     * Tries to connect.
     *
     * @param onOutcome receives whether the server listens, or empty if it did not respond
     */
    void probe(ServerEntry server, Consumer<Optional<Boolean>> onOutcome);
  }

  /** One look at a sample of servers. */
  private final class Check {
    private final List<ServerEntry> sample;
    private int pending;
    private boolean reached;

    private Check(List<ServerEntry> sample) {
      this.sample = sample;
      this.pending = sample.size();
    }

    private void start() {
      sample.forEach(server -> prober.probe(server, listens -> onOutcome(server, listens)));
    }

    private void onOutcome(ServerEntry server, Optional<Boolean> listens) {
      pending--;
      if (listens.equals(Optional.of(true)) && !reached) {
        reached = true;
        checking = false;
        onReached(server);
      } else if (pending == 0 && !reached) {
        checking = false;
        onNoneReached(sample);
      }
    }
  }

  /**
   * Creates a component that has found nothing wrong.
   *
   * @param state the listed servers
   * @param prober connects to servers
   * @param timer runs delayed tasks on the traffic thread
   * @param random draws the sample
   * @param events the log
   */
  ServerReach(
      GatewayState state, Prober prober, TrafficTimer timer, Random random, EventSink events) {
    this.state = state;
    this.prober = prober;
    this.timer = timer;
    this.random = random;
    this.events = events;
  }

  /** Returns whether this node reached none of the servers that it tried last. */
  boolean isCutOff() {
    return cutOff;
  }

  /** Handles a connection that could not be opened, or a server that does not respond. */
  void onFailed() {
    if (!cutOff) {
      check();
    }
  }

  private void check() {
    List<ServerEntry> servers =
        new ArrayList<>(
            state.fleet().entries().stream().filter(entry -> !entry.draining()).toList());
    if (checking || servers.isEmpty()) {
      return;
    }
    Collections.shuffle(servers, random);
    checking = true;
    new Check(servers.subList(0, Math.min(SAMPLE_SIZE, servers.size()))).start();
  }

  private void onReached(ServerEntry server) {
    if (cutOff) {
      cutOff = false;
      events.record(
          EventKind.SERVERS_BACK, server.incarnation().toString(), "a connection was established");
    }
  }

  private void onNoneReached(List<ServerEntry> sample) {
    if (!cutOff) {
      cutOff = true;
      events.record(
          EventKind.SERVERS_OUT,
          "",
          "no connection to any of " + sample.stream().map(ServerEntry::incarnation).toList());
    }
    timer.schedule(RECHECK_MILLIS, this::recheck);
  }

  private void recheck() {
    check();
    if (!checking) {
      // No server is listed at present.
      timer.schedule(RECHECK_MILLIS, this::recheck);
    }
  }
}
