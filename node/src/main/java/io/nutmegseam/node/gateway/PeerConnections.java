package io.nutmegseam.node.gateway;

import io.nutmegseam.core.orders.OrderLeaseRow;
import io.nutmegseam.node.peer.PeerNetwork;
import io.nutmegseam.node.peer.generated.Heartbeat;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.rows.NodeDirectory;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.settings.HostPort;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Keeps connections to the order lease holder and to the nodes that keep the origins of streams.
 * Confined to the control thread.
 */
final class PeerConnections {
  private final String self;
  private final NodeDirectory directory;
  private final PeerNetwork network;
  private final Consumer<StreamOrigins.Keepers> keepersSink;
  private final BooleanSupplier takesRequests;

  /**
   * Creates the component without connections.
   *
   * @param self name of this node
   * @param directory the other nodes
   * @param network opens the connections
   * @param keepersSink receives the nodes that keep the origins of this node's streams
   * @param takesRequests returns whether this node takes requests of other nodes
   */
  PeerConnections(
      String self,
      NodeDirectory directory,
      PeerNetwork network,
      Consumer<StreamOrigins.Keepers> keepersSink,
      BooleanSupplier takesRequests) {
    this.self = self;
    this.directory = directory;
    this.network = network;
    this.keepersSink = keepersSink;
    this.takesRequests = takesRequests;
  }

  /** Connects to the node that holds the order lease. */
  void connectToHolder(OrderLeaseRow row) {
    boolean heldByOther = !row.node().isEmpty() && !row.node().equals(self);
    if (heldByOther && !row.released() && !network.connectedNodes().contains(row.node())) {
      HostPort.parse(row.peerAddress()).ifPresent(network::connect);
    }
  }

  /** Connects to the nodes that keep origins. Of two such nodes, the later in rank connects. */
  private void connectToKeepers() {
    List<NodeRecord> local = directory.originKeepers();
    List<NodeRecord> remote = directory.remoteOriginKeepers();
    Set<String> connected = network.connectedNodes();
    local.stream()
        .filter(record -> directory.isFollowed(record.node()))
        .filter(record -> !connected.contains(record.node()))
        .forEach(record -> network.connect(record.peerAddress()));
    remote.stream()
        .filter(record -> !connected.contains(record.node()))
        .forEach(record -> network.connect(record.peerAddress()));
    keepersSink.accept(new StreamOrigins.Keepers(names(local), names(remote)));
  }

  /**
   * Sends the frames by which peers distinguish an idle connection from a lost one, and opens the
   * connections that are missing.
   */
  void refresh() {
    sendHeartbeats();
    connectToKeepers();
  }

  /** Tells all connected nodes that this node lives, and whether it takes their requests. */
  void sendHeartbeats() {
    sendToAll(
        PeerFrame.newBuilder()
            .setHeartbeat(Heartbeat.newBuilder().setTakesRequests(takesRequests.getAsBoolean())));
  }

  /** Sends a frame to all connected nodes. */
  void sendToAll(PeerFrame.Builder frame) {
    for (String peer : network.connectedNodes()) {
      network.send(peer, frame.clone());
    }
  }

  private static List<String> names(List<NodeRecord> records) {
    return records.stream().map(NodeRecord::node).toList();
  }
}
