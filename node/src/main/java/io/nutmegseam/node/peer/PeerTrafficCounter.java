package io.nutmegseam.node.peer;

import io.nutmegseam.node.peer.generated.PeerFrame;
import java.util.EnumMap;
import java.util.Map;

/** Counts frames and bytes exchanged with peers, by message kind. Thread-safe. */
public final class PeerTrafficCounter {
  /**
   * The traffic of one message kind in one direction.
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
  private final Map<PeerFrame.BodyCase, Count> remoteSent = new EnumMap<>(PeerFrame.BodyCase.class);
  private final Map<PeerFrame.BodyCase, Count> received = new EnumMap<>(PeerFrame.BodyCase.class);

  /**
   * Counts a sent frame.
   *
   * @param remote whether the peer is in another data centre
   */
  synchronized void onSent(PeerFrame frame, boolean remote) {
    add(sent, frame);
    if (remote) {
      add(remoteSent, frame);
    }
  }

  private static void add(Map<PeerFrame.BodyCase, Count> counts, PeerFrame frame) {
    counts.merge(
        frame.getBodyCase(),
        new Count(1, frame.getSerializedSize()),
        (total, added) -> total.plus(added.bytes()));
  }

  synchronized void onReceived(PeerFrame frame) {
    add(received, frame);
  }

  /** Returns a copy of the counts of sent frames, by message kind. */
  public synchronized Map<PeerFrame.BodyCase, Count> sent() {
    return new EnumMap<>(sent);
  }

  /** Returns a copy of the counts of frames sent to other data centres, by message kind. */
  public synchronized Map<PeerFrame.BodyCase, Count> remoteSent() {
    return new EnumMap<>(remoteSent);
  }

  /** Returns a copy of the counts of received frames, by message kind. */
  public synchronized Map<PeerFrame.BodyCase, Count> received() {
    return new EnumMap<>(received);
  }
}
