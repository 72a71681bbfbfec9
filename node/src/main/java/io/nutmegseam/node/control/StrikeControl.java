package io.nutmegseam.node.control;

import io.nutmegseam.core.crash.CrashLedger;
import io.nutmegseam.core.crash.CrashReport;
import io.nutmegseam.core.crash.Fingerprint;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.node.crash.CrashCodec;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.CrashNews;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.ProcessCrash;
import io.nutmegseam.node.peer.generated.SuccessfulRuns;
import java.time.Clock;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Records a strike for each request that ran on a backend server when the server crashed, and sends
 * the strike to the peers. A run that succeeds takes the strikes of its request back. Thread-safe.
 */
public final class StrikeControl {
  /** The product's engines of one name run one software. */
  private static final String SOFTWARE = "";

  private final PeerTransport transport;
  private final EventSink events;
  private final Clock clock;
  private final AtomicReference<CrashLedger> ledger = new AtomicReference<>(CrashLedger.empty());

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
    CrashReport report = new CrashReport(crash, SOFTWARE, Map.of(identify(fingerprint), 0));
    register(report, 0);
    send(CrashNews.newBuilder().addCrashes(CrashCodec.encode(report, 0)));
  }

  /** Records that a request ran to its end, and notifies the peers if it has strikes. */
  public void onSucceeded(String fingerprint) {
    if (strikeCount(fingerprint) > 0) {
      Fingerprint succeeded = identify(fingerprint);
      acquit(succeeded);
      send(
          CrashNews.newBuilder()
              .addSuccesses(
                  SuccessfulRuns.newBuilder()
                      .setSoftware(SOFTWARE)
                      .addAllFingerprints(CrashCodec.bits(Set.of(succeeded)))));
    }
  }

  /** Returns the number of distinct recent crashes during which a request ran. */
  public int strikeCount(String fingerprint) {
    return ledger
        .get()
        .withoutExpired(clock.millis(), clock.millis())
        .view()
        .strikes()
        .getOrDefault(identify(fingerprint), 0);
  }

  /** Returns whether a crash is recorded, so that a request sent later did not cause it. */
  public boolean isCrashRecorded(String crash) {
    return ledger.get().isCrashRecorded(crash);
  }

  /** Records what a peer has learned. */
  void onNews(CrashNews news) {
    for (ProcessCrash crash : news.getCrashesList()) {
      register(CrashCodec.decode(crash), Math.max(0, crash.getAgeMillis()));
    }
    for (SuccessfulRuns runs : news.getSuccessesList()) {
      CrashCodec.fingerprints(runs.getFingerprintsList()).forEach(this::acquit);
    }
  }

  private void register(CrashReport report, long ageMillis) {
    long nowMillis = clock.millis();
    ledger.updateAndGet(
        current ->
            current
                .withoutExpired(nowMillis, nowMillis)
                .withCrash(report, nowMillis - ageMillis, nowMillis));
  }

  private void acquit(Fingerprint fingerprint) {
    ledger.updateAndGet(current -> current.withSuccess(fingerprint, SOFTWARE, clock.millis()));
  }

  private void send(CrashNews.Builder news) {
    for (String node : transport.connectedNodes()) {
      transport.send(node, PeerFrame.newBuilder().setCrashNews(news));
    }
  }

  private static Fingerprint identify(String fingerprint) {
    return Fingerprint.builder().add(fingerprint).build();
  }
}
