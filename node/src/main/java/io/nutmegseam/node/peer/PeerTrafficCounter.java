package io.nutmegseam.node.peer;

import io.nutmegseam.node.peer.generated.PeerFrame;
import java.util.EnumMap;
import java.util.Map;

/** Counts bytes and frames between nodes by message kind. Safe for use by several threads. */
public final class PeerTrafficCounter {
  /**
   * A count.
   *
   * @param frames number of frames
   * @param bytes encoded size of the frames, in bytes
   */
  public record Count(long frames, long bytes) {
    Count plus(long size) {
      return new Count(frames + 1, bytes + size);
    }
  }

  private final Map<PeerFrame.BodyCase, Count> sent = new EnumMap<>(PeerFrame.BodyCase.class);
  private final Map<PeerFrame.BodyCase, Count> received = new EnumMap<>(PeerFrame.BodyCase.class);

  synchronized void onSent(PeerFrame frame) {
    sent.merge(
        frame.getBodyCase(),
        new Count(1, frame.getSerializedSize()),
        (known, one) -> known.plus(one.bytes()));
  }

  synchronized void onReceived(PeerFrame frame) {
    received.merge(
        frame.getBodyCase(),
        new Count(1, frame.getSerializedSize()),
        (known, one) -> known.plus(one.bytes()));
  }

  /** Returns what was sent, by message kind. */
  public synchronized Map<PeerFrame.BodyCase, Count> sent() {
    return new EnumMap<>(sent);
  }

  /** Returns what was received, by message kind. */
  public synchronized Map<PeerFrame.BodyCase, Count> received() {
    return new EnumMap<>(received);
  }
}
