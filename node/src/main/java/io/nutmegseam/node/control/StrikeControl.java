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
 * Records a strike for each request that ran on a backend server when the server crashed, and sends
 * the strike to the peers. Thread-safe.
 */
public final class StrikeControl {
  private static final long STRIKE_RETENTION_MILLIS = 10 * 60_000;

  private final PeerTransport transport;
  private final EventSink events;
  private final Clock clock;
  private final AtomicReference<StrikeRegistry> registry =
      new AtomicReference<>(StrikeRegistry.of(STRIKE_RETENTION_MILLIS));

  /**
   * Creates a strike control without strikes.
   *
   * @param transport sends frames to peers
   * @param events event log
   * @param clock monotonic clock
   */
  public StrikeControl(PeerTransport transport, EventSink events, Clock clock) {
    this.transport = transport;
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
    for (String node : transport.connectedNodes()) {
      transport.send(node, PeerFrame.newBuilder().setStrikeNotice(notice));
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
