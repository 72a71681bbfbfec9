package io.nutmegseam.node.gateway;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.control.TrafficTimer;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Tells whether this node reaches servers. When a connection to one fails, or one is silent, the
 * node opens connections to a sample of servers: a failure of all of them means that the node is
 * cut off, or that all servers are down. Confined to the traffic thread.
 */
final class ServerReach {
  private static final int SAMPLE_SIZE = 8;

  /** Interval at which a node that reaches no server looks again. */
  private static final long CUT_OFF_RECHECK_MILLIS = 250;

  /** Interval at which a node that reaches some servers looks again at the earliest. */
  private static final long RECHECK_MILLIS = 1_000;

  /**
   * Longer than a server that has crashed stays listed. Servers that a node does not reach for
   * longer are up, and the node is cut off from them.
   */
  private static final long LISTING_DELAY_MILLIS = 4_000;

  /** A node that does not reach more than this share of a sample is impaired. */
  private static final double IMPAIRED_SHARE = 0.5;

  /** An impaired node that does not reach more than this share stays so. */
  private static final double RECOVERED_SHARE = 0.25;

  private final GatewayState state;
  private final InstantSource clock;
  private final Prober prober;
  private final TrafficTimer timer;
  private final Random random;
  private final EventSink events;
  private Consumer<Reach> listener = reach -> {};
  private Reach reach = Reach.FULL;
  private boolean checking;
  private long checkedMillis = Long.MIN_VALUE / 2;
  private long impairedSinceMillis = Long.MAX_VALUE;

  /** Which servers this node reaches. */
  enum Reach {
    /** Most or all. */
    FULL(2),
    /** Less than half. */
    IMPAIRED(1),
    /** None. */
    NONE(0);

    private final int level;

    Reach(int level) {
      this.level = level;
    }

    /** Returns the value of the metric. */
    int level() {
      return level;
    }
  }

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
    private int failed;

    private Check(List<ServerEntry> sample) {
      this.sample = sample;
      this.pending = sample.size();
    }

    private void start() {
      sample.forEach(server -> prober.probe(server, this::onOutcome));
    }

    private void onOutcome(Optional<Boolean> listens) {
      pending--;
      if (!listens.equals(Optional.of(true))) {
        failed++;
      }
      if (pending == 0) {
        checking = false;
        checkedMillis = clock.millis();
        onChecked(sample, failed);
      }
    }
  }

  /**
   * Creates a component that has found nothing wrong.
   *
   * @param state the listed servers
   * @param clock monotonic clock
   * @param prober connects to servers
   * @param timer runs delayed tasks on the traffic thread
   * @param random draws the sample
   * @param events the log
   */
  ServerReach(
      GatewayState state,
      InstantSource clock,
      Prober prober,
      TrafficTimer timer,
      Random random,
      EventSink events) {
    this.state = state;
    this.clock = clock;
    this.prober = prober;
    this.timer = timer;
    this.random = random;
    this.events = events;
  }

  /** Sets who is told which servers this node reaches, when that changes. */
  void setListener(Consumer<Reach> next) {
    listener = next;
  }

  /** Returns which servers this node reached when it looked last. */
  Reach reach() {
    return reach;
  }

  /** Returns whether this node reached none of the servers. */
  boolean isCutOff() {
    return reach == Reach.NONE;
  }

  /**
   * Returns whether another node is to send orders to servers: this one reaches none, or has
   * reached less than half for longer than crashed servers stay listed.
   */
  boolean isUnfitForOrders() {
    return isCutOff() || clock.millis() - LISTING_DELAY_MILLIS >= impairedSinceMillis;
  }

  /** Handles a connection that could not be opened, or a server that does not respond. */
  void onFailed() {
    if (reach == Reach.FULL && clock.millis() - checkedMillis >= RECHECK_MILLIS) {
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

  private void onChecked(List<ServerEntry> sample, int failed) {
    Reach before = reach;
    reach = reachOf(failed / (double) sample.size());
    if (reach != before) {
      if (before == Reach.FULL) {
        impairedSinceMillis = clock.millis();
      } else if (reach == Reach.FULL) {
        impairedSinceMillis = Long.MAX_VALUE;
      }
      events.record(
          reach == Reach.FULL ? EventKind.SERVERS_BACK : EventKind.SERVERS_OUT,
          reach.name(),
          "no connection to %d of %s"
              .formatted(failed, sample.stream().map(ServerEntry::incarnation).toList()));
      listener.accept(reach);
    }
    if (reach != Reach.FULL) {
      scheduleRecheck();
    }
  }

  private Reach reachOf(double failedShare) {
    if (failedShare >= 1) {
      return Reach.NONE;
    }
    double limit = reach == Reach.FULL ? IMPAIRED_SHARE : RECOVERED_SHARE;
    return failedShare > limit ? Reach.IMPAIRED : Reach.FULL;
  }

  private void scheduleRecheck() {
    timer.schedule(isCutOff() ? CUT_OFF_RECHECK_MILLIS : RECHECK_MILLIS, this::recheck);
  }

  private void recheck() {
    check();
    if (!checking) {
      // No server is listed at present.
      scheduleRecheck();
    }
  }
}
