package io.nutmegseam.node.quota;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.quota.LimitTable;
import io.nutmegseam.core.quota.NamedLimit;
import io.nutmegseam.core.quota.ServerLimits;
import io.nutmegseam.node.control.TrafficTimer;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.ServerLimit;
import io.nutmegseam.node.peer.generated.ServerLimitNews;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Shares the limits that servers name: a node forwards what is new to it to the nodes that it is
 * connected to, and tells all known limits to a node that connects. Confined to the traffic thread.
 */
final class LimitSharing {
  /** Interval at which nodes that have connected are told the known limits. */
  private static final long GREETING_INTERVAL_MILLIS = 100;

  private static final long PRUNE_INTERVAL_MILLIS = 5_000;

  /** Source of limits that no other node has sent. */
  private static final String THIS_NODE = "";

  private final PeerTransport peers;
  private final InstantSource clock;
  private final TrafficTimer timer;
  private final Predicate<String> isListed;
  private final Consumer<Map<String, ServerLimits>> limitsSink;
  private final EventSink events;
  private final LimitTable table = new LimitTable();
  private final Set<String> greetedPeers = new HashSet<>();
  private boolean ticking;
  private long prunedMillis;

  /**
   * Creates a component that knows no limits.
   *
   * @param peers sends frames to other nodes
   * @param clock monotonic clock
   * @param timer runs delayed tasks on the traffic thread
   * @param isListed whether a process of a server is listed
   * @param limitsSink receives the limits of the processes that name any, whenever they change
   * @param events the log
   */
  LimitSharing(
      PeerTransport peers,
      InstantSource clock,
      TrafficTimer timer,
      Predicate<String> isListed,
      Consumer<Map<String, ServerLimits>> limitsSink,
      EventSink events) {
    this.peers = peers;
    this.clock = clock;
    this.timer = timer;
    this.isListed = isListed;
    this.limitsSink = limitsSink;
    this.events = events;
  }

  /** Returns the number of processes that name a limit. */
  int limitedCount() {
    return table.limitedCount();
  }

  /** Returns the limits of a process. */
  ServerLimits limits(String process) {
    return table.limits(process);
  }

  /** Applies the limits in a response to a request that was sent at a monotonic time. */
  void onResponse(String process, ServerLimits limits, long sentMillis) {
    NamedLimit named = new NamedLimit(process, limits, clock.millis());
    ServerLimits before = table.limits(process);
    if (table.onResponse(named, sentMillis)) {
      onChanged(named, before, "its response");
      forward(THIS_NODE, named);
    }
  }

  /** Applies limits that another node has been told. */
  void onNews(String node, ServerLimit message) {
    NamedLimit named = decode(message);
    ServerLimits before = table.limits(named.process());
    if (table.onNews(named)) {
      onChanged(named, before, "node " + node);
      forward(node, named);
    }
  }

  /** Returns the message of what a process names; empty if it names no limit. */
  Optional<ServerLimit> message(String process) {
    return table.find(process).filter(named -> !named.limits().isNone()).map(this::encode);
  }

  private void onChanged(NamedLimit named, ServerLimits before, String source) {
    events.record(
        EventKind.SERVER_LIMIT_NAMED,
        named.process(),
        "%s by %s, before: %s".formatted(named.limits(), source, before));
    limitsSink.accept(table.limitsByProcess());
    if (!ticking) {
      ticking = true;
      greetedPeers.clear();
      greetedPeers.addAll(peers.connectedNodes());
      timer.schedule(GREETING_INTERVAL_MILLIS, this::tick);
    }
  }

  /** Tells the known limits to nodes that have connected, for as long as there are any. */
  private void tick() {
    Collection<NamedLimit> known = table.all();
    Set<String> connected = peers.connectedNodes();
    greetedPeers.retainAll(connected);
    for (String node : connected) {
      if (greetedPeers.add(node)) {
        send(node, known);
      }
    }
    long nowMillis = clock.millis();
    if (nowMillis - prunedMillis >= PRUNE_INTERVAL_MILLIS) {
      prunedMillis = nowMillis;
      table.prune(isListed, nowMillis);
    }
    ticking = !known.isEmpty();
    if (ticking) {
      timer.schedule(GREETING_INTERVAL_MILLIS, this::tick);
    }
  }

  private void forward(String source, NamedLimit named) {
    for (String node : peers.connectedNodes()) {
      if (!node.equals(source)) {
        send(node, List.of(named));
      }
    }
  }

  private void send(String node, Collection<NamedLimit> limits) {
    ServerLimitNews.Builder news = ServerLimitNews.newBuilder();
    limits.forEach(named -> news.addLimits(encode(named)));
    peers.send(node, PeerFrame.newBuilder().setServerLimitNews(news));
  }

  private ServerLimit encode(NamedLimit named) {
    ServerLimit.Builder message =
        ServerLimit.newBuilder()
            .setProcess(named.process())
            .setAgeMillis(clock.millis() - named.namedMillis());
    if (named.limits().isRateLimited()) {
      message.setRequestsPerSecond(named.limits().requestsPerSecond());
    }
    if (named.limits().isBrittle()) {
      message.setRejectionsPerSecond(named.limits().rejectionsPerSecond());
    }
    return message.build();
  }

  private NamedLimit decode(ServerLimit message) {
    return new NamedLimit(
        message.getProcess(),
        new ServerLimits(
            message.hasRequestsPerSecond()
                ? message.getRequestsPerSecond()
                : Double.POSITIVE_INFINITY,
            message.hasRejectionsPerSecond()
                ? message.getRejectionsPerSecond()
                : Double.POSITIVE_INFINITY),
        clock.millis() - Math.max(0, message.getAgeMillis()));
  }
}
