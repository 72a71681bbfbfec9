package io.nutmegseam.node.control;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.retry.StrikeBook;
import io.nutmegseam.node.peer.Outbox;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.StrikeNotice;
import java.time.Clock;
import java.util.concurrent.atomic.AtomicReference;

/** Shares the suspicion that a request crashes backend servers. Safe for use by several threads. */
public final class StrikeControl {
  private static final long STRIKE_MILLIS = 10 * 60_000;

  private final Outbox outbox;
  private final EventSink events;
  private final Clock clock;
  private final AtomicReference<StrikeBook> book =
      new AtomicReference<>(StrikeBook.of(STRIKE_MILLIS));

  /**
   * Creates the part.
   *
   * @param outbox sends frames
   * @param events event log
   * @param clock monotonic clock
   */
  public StrikeControl(Outbox outbox, EventSink events, Clock clock) {
    this.outbox = outbox;
    this.events = events;
    this.clock = clock;
  }

  /**
   * Notes that a request ran on a server when it crashed, and tells the peers.
   *
   * @param fingerprint the request's fingerprint
   * @param crash names the crash
   */
  public void addStrike(String fingerprint, String crash) {
    events.record(EventKind.CRASH_STRIKE, fingerprint, crash);
    take(fingerprint, crash);
    StrikeNotice notice =
        StrikeNotice.newBuilder().setFingerprint(fingerprint).setCrash(crash).build();
    for (String node : outbox.connected()) {
      outbox.send(node, PeerFrame.newBuilder().setStrikeNotice(notice));
    }
  }

  /** Returns the number of distinct crashes during which a request ran. */
  public int strikeCount(String fingerprint) {
    return book.get().strikes(fingerprint, clock.millis());
  }

  /** Returns whether a crash is known, so that a request sent later did not cause it. */
  public boolean isCrashRecorded(String crash) {
    return book.get().knowsCrash(crash);
  }

  void onNotice(StrikeNotice notice) {
    take(notice.getFingerprint(), notice.getCrash());
  }

  private void take(String fingerprint, String crash) {
    book.updateAndGet(known -> known.strike(fingerprint, crash, clock.millis()));
  }
}
