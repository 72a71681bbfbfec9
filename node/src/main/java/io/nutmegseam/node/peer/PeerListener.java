package io.nutmegseam.node.peer;

import io.nutmegseam.node.peer.generated.PeerFrame;

/** Receives frames of peers. Runs on network threads and must not block. */
@FunctionalInterface
public interface PeerListener {
  /**
   * Takes one frame.
   *
   * @param node name of the sending node
   * @param frame the frame
   */
  void onFrame(String node, PeerFrame frame);
}
