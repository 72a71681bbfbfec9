package io.nutmegseam.node.quota;

import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.settings.HostPort;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Selects the first node of an order that this node reaches, and opens connections that are
 * missing. Confined to the traffic thread.
 */
public final class ReachableNodeSelector {
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

  /**
   * The node to ask now.
   *
   * @param node the node; empty if no node can be asked
   * @param connecting whether a connection to a better one is being opened, so that it may be worth
   *     selecting again soon
   * @param substitute whether the node takes the place of another one that comes before it
   */
  public record Selection(Optional<String> node, boolean connecting, boolean substitute) {}

  /**
   * Creates a selector that knows no nodes.
   *
   * @param self name of this node
   * @param peers the connected nodes
   * @param connector opens a connection to a node
   * @param clock monotonic clock
   */
  public ReachableNodeSelector(
      String self, PeerTransport peers, Consumer<HostPort> connector, InstantSource clock) {
    this.self = self;
    this.peers = peers;
    this.connector = connector;
    this.clock = clock;
  }

  /** Forgets all nodes but these. */
  public void retainNodes(Set<String> nodes) {
    silentUntilMillisByNode.keySet().retainAll(nodes);
    connectingSinceMillisByNode.keySet().retainAll(nodes);
  }

  /** Records that a node has not answered. */
  public void onSilent(String node) {
    silentUntilMillisByNode.put(node, clock.millis() + SILENT_MILLIS);
  }

  /** Records that a node has answered. */
  public void onAnswer(String node) {
    silentUntilMillisByNode.remove(node);
  }

  /** Returns whether a node is connected and has not been silent. */
  public boolean isReachable(String node) {
    boolean silent = silentUntilMillisByNode.getOrDefault(node, Long.MIN_VALUE) > clock.millis();
    return node.equals(self) || (!silent && peers.connectedNodes().contains(node));
  }

  /** Selects the first reachable node of an order. */
  public Selection select(List<NodeRecord> candidates) {
    Set<String> connected = peers.connectedNodes();
    long nowMillis = clock.millis();
    boolean connecting = false;
    boolean substitute = false;
    for (NodeRecord candidate : candidates) {
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
}
