package io.nutmegseam.node.quota;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.routing.RendezvousHash;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.settings.HostPort;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Selects the node that grants the sends to a server: the first one that this node reaches, in an
 * order that is the same at all nodes. Nodes of the server's data centre come first, since nodes
 * that cannot reach these can rarely reach the server. Confined to the traffic thread.
 */
final class LimiterSelector {
  private static final int MAX_CANDIDATES = 3;

  private final ReachableNodeSelector selector;
  private List<NodeRecord> nodes = List.of();

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
    selector = new ReachableNodeSelector(self, peers, connector, clock);
  }

  /** Sets the known nodes, this one included. */
  void setNodes(List<NodeRecord> next) {
    nodes = next;
    selector.retainNodes(next.stream().map(NodeRecord::node).collect(Collectors.toSet()));
  }

  /** Returns the number of known nodes, this one included. */
  int nodeCount() {
    return nodes.size();
  }

  /** Records that a node has not answered. */
  void onSilent(String node) {
    selector.onSilent(node);
  }

  /** Records that a node has answered. */
  void onAnswer(String node) {
    selector.onAnswer(node);
  }

  /** Selects the node to ask for a send to a server, and opens connections that are missing. */
  ReachableNodeSelector.Selection select(ServerEntry server) {
    return selector.select(candidates(server));
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
}
