package io.nutmegseam.node.peer;

import io.nutmegseam.node.peer.generated.PeerFrame;
import java.util.Set;

/** Sends frames to peers. */
public interface PeerTransport {
  /**
   * Sends a frame to one node.
   *
   * @return whether there is a connection; delivery is not promised
   */
  boolean send(String node, PeerFrame.Builder frame);

  /** Returns the nodes with a connection. */
  Set<String> connectedNodes();
}
