package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.settings.HostPort;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The nodes that send requests to servers for this node while it reaches none itself. Such a node
 * counts as a server without service. Confined to the traffic thread.
 */
final class PeerTargets {
  /** A node that has not said for this time whether it takes requests may have changed. */
  private static final long NEWS_RETENTION_MILLIS = 2_500;

  /** Number of nodes that this node connects to while it reaches no server. */
  private static final int CONNECTIONS = 8;

  /** Requests in flight at a node with one core of reference speed at which it is busy. */
  private static final double REQUESTS_PER_CORE = 16;

  /** Additional cost of a node in another data centre, as a share of its capacity. */
  private static final double DISTANCE_PENALTY = 0.1;

  /** Upper bound of the random cost that breaks ties. */
  private static final double TIE_BREAK = 1e-3;

  private static final Inventory NO_MODELS = new Inventory(0, false, Map.of(), Set.of(), Set.of());

  private final NodeSelf self;
  private final PeerTransport peers;
  private final Consumer<HostPort> connector;
  private final ServerLoads loads;
  private final Random random;
  private final InstantSource clock;
  private final Map<String, News> newsByNode = new HashMap<>();
  private List<NodeRecord> nodes = List.of();

  /** This node. */
  record NodeSelf(String node, String dataCentre) {}

  private record News(boolean takesRequests, long receivedMillis) {}

  /**
   * Creates a component that knows no nodes.
   *
   * @param self this node
   * @param peers the connected nodes
   * @param connector opens a connection to a node
   * @param loads requests in flight at each node
   * @param random breaks ties
   * @param clock monotonic clock
   */
  PeerTargets(
      NodeSelf self,
      PeerTransport peers,
      Consumer<HostPort> connector,
      ServerLoads loads,
      Random random,
      InstantSource clock) {
    this.self = self;
    this.peers = peers;
    this.connector = connector;
    this.loads = loads;
    this.random = random;
    this.clock = clock;
  }

  /** Returns whether an entry stands for a node instead of a server. */
  static boolean isPeer(ServerEntry entry) {
    return entry.service().isEmpty();
  }

  /** Sets the known nodes. */
  void setNodes(List<NodeRecord> next) {
    nodes = next.stream().filter(record -> !record.node().equals(self.node())).toList();
    newsByNode.keySet().removeIf(node -> nodes.stream().noneMatch(r -> r.node().equals(node)));
  }

  /** Records whether a node takes requests that this node cannot send to a server. */
  void onNews(String node, boolean takesRequests) {
    newsByNode.put(node, new News(takesRequests, clock.millis()));
  }

  /**
   * Chooses a node that is not known to reach no server, and is the least loaded one of those that
   * say that they take requests, or else of the others.
   *
   * @param excluded names of nodes that have been tried
   */
  Optional<ServerEntry> choose(Set<String> excluded) {
    Set<String> connected = peers.connectedNodes();
    return nodes.stream()
        .filter(record -> record.requestAddress().isPresent())
        .filter(record -> connected.contains(record.node()) && !excluded.contains(record.node()))
        .filter(record -> takesRequests(record.node()).orElse(true))
        .map(PeerTargets::entry)
        .min(
            Comparator.<ServerEntry>comparingInt(
                    entry -> takesRequests(entry.incarnation().id()).isPresent() ? 0 : 1)
                .thenComparingDouble(this::cost));
  }

  /** Returns whether a connected node says that it takes requests. */
  boolean isAvailable() {
    return choose(Set.of()).flatMap(entry -> takesRequests(entry.incarnation().id())).isPresent();
  }

  /** Opens connections to further nodes if few of those that are connected take requests. */
  void connectMore() {
    Set<String> connected = peers.connectedNodes();
    long taking = connected.stream().filter(node -> takesRequests(node).orElse(false)).count();
    List<NodeRecord> others =
        new ArrayList<>(
            nodes.stream().filter(record -> !connected.contains(record.node())).toList());
    Collections.shuffle(others, random);
    others.stream()
        .limit(Math.max(0, CONNECTIONS - taking))
        .forEach(record -> connector.accept(record.peerAddress()));
  }

  private Optional<Boolean> takesRequests(String node) {
    return Optional.ofNullable(newsByNode.get(node))
        .filter(news -> clock.millis() - news.receivedMillis() <= NEWS_RETENTION_MILLIS)
        .map(News::takesRequests);
  }

  private double cost(ServerEntry entry) {
    double distance = entry.dataCentre().equals(self.dataCentre()) ? 0 : DISTANCE_PENALTY;
    double avoided = loads.isAvoided(entry.incarnation().id()) ? 1 : 0;
    return loads.utilisation(entry) + distance + avoided + random.nextDouble() * TIE_BREAK;
  }

  private static ServerEntry entry(NodeRecord record) {
    HostPort address = record.requestAddress().orElseThrow();
    return new ServerEntry(
        new Incarnation(record.node(), 0),
        "",
        "",
        address.host(),
        address.port(),
        record.dataCentre(),
        (int) Math.max(1, record.power() * REQUESTS_PER_CORE),
        false,
        NO_MODELS);
  }
}
