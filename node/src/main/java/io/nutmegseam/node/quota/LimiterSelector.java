package io.nutmegseam.node.quota;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.routing.RendezvousHash;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.settings.HostPort;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Selects the node that grants the sends to a server: the first one that this node reaches, in an
 * order that is the same at all nodes. Nodes of the server's data centre come first, since nodes
 * that cannot reach these can rarely reach the server. Confined to the traffic thread.
 */
final class LimiterSelector {
  private static final int MAX_CANDIDATES = 3;

  /** A node that did not answer is passed over for this time. */
  private static final long SILENT_MILLIS = 2_000;

  /** A connection that is not established within this time is not waited for. */
  private static final long CONNECT_MILLIS = 80;

  private final String self;
  private final PeerTransport peers;
  private final Consumer<HostPort> connector;
  private final InstantSource clock;
  private final Map<String, Long> silentUntilMillisByNode = new HashMap<>();
  private final Map<String, Long> connectingSinceMillisByNode = new HashMap<>();
  private List<NodeRecord> nodes = List.of();

  /**
   * The node to ask now.
   *
   * @param node the node; empty if no node can be asked
   * @param connecting whether a connection to a better one is being opened, so that it may be worth
   *     selecting again soon
   * @param substitute whether the node takes the place of another one that comes before it
   */
  record Selection(Optional<String> node, boolean connecting, boolean substitute) {}

  /**
   * Creates a selector that knows no nodes.
   *
   * @param self name of this node
   * @param peers the connected nodes
   * @param connector opens a connection to a node
   * @param clock monotonic clock
   */
  LimiterSelector(
      String self, PeerTransport peers, Consumer<HostPort> connector, InstantSource clock) {
    this.self = self;
    this.peers = peers;
    this.connector = connector;
    this.clock = clock;
  }

  /** Sets the known nodes, this one included. */
  void setNodes(List<NodeRecord> next) {
    nodes = next;
    silentUntilMillisByNode.keySet().removeIf(node -> !isKnown(node));
    connectingSinceMillisByNode.keySet().removeIf(node -> !isKnown(node));
  }

  /** Returns the number of known nodes, this one included. */
  int nodeCount() {
    return nodes.size();
  }

  /** Records that a node has not answered. */
  void onSilent(String node) {
    silentUntilMillisByNode.put(node, clock.millis() + SILENT_MILLIS);
  }

  /** Records that a node has answered. */
  void onAnswer(String node) {
    silentUntilMillisByNode.remove(node);
  }

  /** Selects the node to ask for a send to a server, and opens connections that are missing. */
  Selection select(ServerEntry server) {
    Set<String> connected = peers.connectedNodes();
    long nowMillis = clock.millis();
    boolean connecting = false;
    boolean substitute = false;
    for (NodeRecord candidate : candidates(server)) {
      String node = candidate.node();
      if (node.equals(self)) {
        return new Selection(Optional.of(node), connecting, substitute);
      }
      boolean silent = silentUntilMillisByNode.getOrDefault(node, Long.MIN_VALUE) > nowMillis;
      if (!silent && connected.contains(node)) {
        connectingSinceMillisByNode.remove(node);
        return new Selection(Optional.of(node), connecting, substitute);
      }
      substitute = true;
      if (!silent) {
        connector.accept(candidate.peerAddress());
        long sinceMillis = connectingSinceMillisByNode.computeIfAbsent(node, n -> nowMillis);
        connecting |= nowMillis - sinceMillis < CONNECT_MILLIS;
      }
    }
    return new Selection(Optional.empty(), connecting, substitute);
  }

  private List<NodeRecord> candidates(ServerEntry server) {
    return nodes.stream()
        .sorted(
            Comparator.comparing(
                    (NodeRecord record) -> !record.dataCentre().equals(server.dataCentre()))
                .thenComparing(
                    record ->
                        -RendezvousHash.weight(server.incarnation().toString(), record.node()))
                .thenComparing(NodeRecord::node))
        .limit(MAX_CANDIDATES)
        .toList();
  }

  private boolean isKnown(String node) {
    return nodes.stream().anyMatch(record -> record.node().equals(node));
  }
}
