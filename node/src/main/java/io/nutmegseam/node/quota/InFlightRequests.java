package io.nutmegseam.node.quota;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.control.TrafficTimer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Counts the requests that this node has at each server, those that it is about to send included,
 * and has those at brittle servers reported as long as there are any. Confined to the traffic
 * thread.
 */
final class InFlightRequests {
  private static final long REPORT_INTERVAL_MILLIS = 1_000;

  private final ToIntFunction<Incarnation> sentCount;
  private final Predicate<Incarnation> isBrittle;
  private final Consumer<ServerEntry> reporter;
  private final TrafficTimer timer;
  private final Map<Incarnation, Integer> askedByServer = new HashMap<>();
  private final Set<ServerEntry> reportedServers = new HashSet<>();
  private boolean scheduled;

  /**
   * Creates a component without requests.
   *
   * @param sentCount returns the number of requests that were sent to a server and have not ended
   * @param isBrittle whether a server has to be reported
   * @param reporter reports the requests at a server to the node that grants the sends to it
   * @param timer runs delayed tasks on the traffic thread
   */
  InFlightRequests(
      ToIntFunction<Incarnation> sentCount,
      Predicate<Incarnation> isBrittle,
      Consumer<ServerEntry> reporter,
      TrafficTimer timer) {
    this.sentCount = sentCount;
    this.isBrittle = isBrittle;
    this.reporter = reporter;
    this.timer = timer;
  }

  /** Returns the number of requests at a server, or about to be sent there. */
  int count(Incarnation server) {
    return sentCount.applyAsInt(server) + askedByServer.getOrDefault(server, 0);
  }

  /** Records that a permit was asked for, which may have been granted from now on. */
  void onAsked(ServerEntry server) {
    askedByServer.merge(server.incarnation(), 1, Integer::sum);
    if (isBrittle.test(server.incarnation()) && reportedServers.add(server)) {
      schedule();
    }
  }

  /**
   * Records that a permit was denied. The permits asked for meanwhile were counted with it: once
   * all of them are settled, the number is reported anew, so that requests which wait take no room.
   */
  void onDenied(ServerEntry server) {
    onSettled(server);
    if (!askedByServer.containsKey(server.incarnation()) && isBrittle.test(server.incarnation())) {
      reporter.accept(server);
    }
  }

  /** Records that the outcome of a permit is not waited for, or that its request is sent now. */
  void onSettled(ServerEntry server) {
    askedByServer.computeIfPresent(
        server.incarnation(), (incarnation, asked) -> asked > 1 ? asked - 1 : null);
  }

  private void schedule() {
    if (!scheduled && !reportedServers.isEmpty()) {
      scheduled = true;
      timer.schedule(REPORT_INTERVAL_MILLIS, this::report);
    }
  }

  private void report() {
    scheduled = false;
    reportedServers.removeIf(
        server -> !isBrittle.test(server.incarnation()) || count(server.incarnation()) == 0);
    reportedServers.forEach(reporter);
    schedule();
  }
}
