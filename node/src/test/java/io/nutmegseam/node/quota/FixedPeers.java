package io.nutmegseam.node.quota;

import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import java.util.Set;

/**
 * Connections that carry nothing.
 *
 * @param connectedNodes names of the nodes that are connected
 */
record FixedPeers(Set<String> connectedNodes) implements PeerTransport {
  @Override
  public boolean send(String node, PeerFrame.Builder frame) {
    return false;
  }
}
