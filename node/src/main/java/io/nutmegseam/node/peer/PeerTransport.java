package io.nutmegseam.node.peer;

import io.nutmegseam.node.peer.generated.PeerFrame;
import java.util.Set;

/** Sends frames to connected peers. */
public interface PeerTransport {
  /**
   * Sends a frame to a node, or drops it if the connection's send buffer is full.
   *
   * @return whether the node is connected; delivery is not guaranteed
   */
  boolean send(String node, PeerFrame.Builder frame);

  /** Returns the names of the connected nodes. */
  Set<String> connectedNodes();
}
