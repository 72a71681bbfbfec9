package io.nutmegseam.node.control;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.retry.StrikeRegistry;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.StrikeNotice;
import java.time.Clock;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Tracks which requests ran on backend servers when these crashed, and shares these strikes with
 * the peers. Safe for use by several threads.
 */
public final class StrikeControl {
  private static final long STRIKE_RETENTION_MILLIS = 10 * 60_000;

  private final PeerTransport outbox;
  private final EventSink events;
  private final Clock clock;
  private final AtomicReference<StrikeRegistry> registry =
      new AtomicReference<>(StrikeRegistry.of(STRIKE_RETENTION_MILLIS));

  /**
   * Creates a strike control without strikes.
   *
   * @param outbox sends frames to peers
   * @param events event log
   * @param clock monotonic clock
   */
  public StrikeControl(PeerTransport outbox, EventSink events, Clock clock) {
    this.outbox = outbox;
    this.events = events;
    this.clock = clock;
  }

  /**
   * Records that a request ran on a server when the server crashed, and notifies the peers.
   *
   * @param fingerprint the request's fingerprint
   * @param crash identifies the crash
   */
  public void addStrike(String fingerprint, String crash) {
    events.record(EventKind.CRASH_STRIKE, fingerprint, crash);
    register(fingerprint, crash);
    StrikeNotice notice =
        StrikeNotice.newBuilder().setFingerprint(fingerprint).setCrash(crash).build();
    for (String node : outbox.connectedNodes()) {
      outbox.send(node, PeerFrame.newBuilder().setStrikeNotice(notice));
    }
  }

  /** Returns the number of distinct recent crashes during which a request ran. */
  public int strikeCount(String fingerprint) {
    return registry.get().strikeCount(fingerprint, clock.millis());
  }

  /** Returns whether a crash is recorded, so that a request sent later did not cause it. */
  public boolean isCrashRecorded(String crash) {
    return registry.get().isCrashRecorded(crash);
  }

  /** Records a strike that a peer sent. */
  void onNotice(StrikeNotice notice) {
    register(notice.getFingerprint(), notice.getCrash());
  }

  private void register(String fingerprint, String crash) {
    registry.updateAndGet(current -> current.addStrike(fingerprint, crash, clock.millis()));
  }
}
