package io.nutmegseam.node.relay;

import io.nutmegseam.core.relay.RelayPlan;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.FleetDemand;
import io.nutmegseam.node.peer.generated.FleetNews;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.rows.NodeDirectory;
import io.nutmegseam.node.rows.NodeRecord;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Distributes the updates of the order lease holder: the holder sends each update once to every
 * other data centre, and the receiver forwards it there. Nodes of earlier builds, and nodes that
 * miss updates, are sent them directly. Confined to the control thread.
 */
public final class FleetNewsRelay {
  /**
   * The holder sends updates twice a second. A node that misses two of them asks for direct ones
   * before what it knows of the load of servers is 2 s old, after which it is ignored.
   */
  static final long MAX_GAP_MILLIS = 1_200;

  /** Nodes report at least once a second. */
  private static final long ABILITY_RETENTION_MILLIS = 3_000;

  private final NodeRecord self;
  private final NodeDirectory directory;
  private final PeerTransport peers;
  private final InstantSource clock;
  private final Map<String, Ability> abilityByNode = new HashMap<>();
  private long lastNewsMillis;

  /** What a node has said of itself in its last report. */
  private record Ability(boolean forwards, boolean wantsDirect, long receivedMillis) {}

  /**
   * Creates a relay that has received nothing.
   *
   * @param self this node
   * @param directory the other nodes with their data centres
   * @param peers sends frames to other nodes
   * @param clock monotonic clock
   */
  public FleetNewsRelay(
      NodeRecord self, NodeDirectory directory, PeerTransport peers, InstantSource clock) {
    this.self = self;
    this.directory = directory;
    this.peers = peers;
    this.clock = clock;
    this.lastNewsMillis = clock.millis();
  }

  /** Sends an update of this node, which holds the order lease, to all other nodes. */
  public void publish(FleetNews update) {
    lastNewsMillis = clock.millis();
    plan()
        .forwardByRecipient()
        .forEach((node, forward) -> send(node, update.toBuilder().setForward(forward).build()));
  }

  /** Records an update of another node, and forwards it if the update says so. */
  public void onNews(String sender, FleetNews update) {
    lastNewsMillis = clock.millis();
    if (update.getForward()) {
      FleetNews forwarded = update.toBuilder().setForward(false).build();
      for (String node : peers.connectedNodes()) {
        if (!node.equals(sender) && directory.isPeerInDataCentre(node)) {
          send(node, forwarded);
        }
      }
    }
  }

  /** Records what a node says in its report about forwarding. */
  public void onReport(String node, FleetDemand report) {
    abilityByNode.put(
        node, new Ability(report.getForwardsNews(), report.getWantsDirectNews(), clock.millis()));
  }

  /** Adds to a report of this node that it forwards updates, and whether it misses them. */
  public FleetDemand addTo(FleetDemand report) {
    return report.toBuilder()
        .setForwardsNews(true)
        .setWantsDirectNews(clock.millis() - lastNewsMillis > MAX_GAP_MILLIS)
        .build();
  }

  private RelayPlan plan() {
    Set<String> connected = peers.connectedNodes();
    abilityByNode
        .values()
        .removeIf(a -> clock.millis() - a.receivedMillis() > ABILITY_RETENTION_MILLIS);
    Map<String, NodeRecord> recordByNode = new HashMap<>();
    directory.nodes().forEach(record -> recordByNode.put(record.node(), record));
    return RelayPlan.of(
        self.dataCentre(),
        connected.stream().map(node -> peer(node, recordByNode.get(node))).toList());
  }

  /**
   * Returns a connected node; one that is not listed, or has not reported, is sent all directly.
   */
  private RelayPlan.Peer peer(String node, NodeRecord listed) {
    Ability ability = abilityByNode.get(node);
    boolean forwards = ability != null && listed != null && ability.forwards();
    return new RelayPlan.Peer(
        node,
        listed == null ? "" : listed.dataCentre(),
        listed == null ? 0 : listed.power(),
        forwards,
        ability != null && ability.wantsDirect());
  }

  private void send(String node, FleetNews update) {
    peers.send(node, PeerFrame.newBuilder().setFleetNews(update));
  }
}
