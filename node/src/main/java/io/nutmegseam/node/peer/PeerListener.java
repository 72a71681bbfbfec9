package io.nutmegseam.node.peer;

import io.nutmegseam.node.peer.generated.PeerFrame;

/** Receives frames from peers. Called on network threads; implementations must not block. */
@FunctionalInterface
public interface PeerListener {
  /**
   * Handles a frame.
   *
   * @param node name of the sending node
   * @param frame the frame
   */
  void onFrame(String node, PeerFrame frame);
}
