package io.nutmegseam.node.crash;

import io.nutmegseam.core.crash.CrashLedger;
import io.nutmegseam.core.crash.CrashReport;
import io.nutmegseam.core.crash.CrashVerdict;
import io.nutmegseam.core.crash.CrashView;
import io.nutmegseam.core.crash.Fingerprint;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.CrashNews;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.ProcessCrash;
import io.nutmegseam.node.peer.generated.SuccessfulRuns;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Keeps the ledger of crashes and shares it with the other nodes: each node forwards what is new to
 * it to the nodes that it is connected to. Confined to the control thread.
 */
public final class CrashControl {
  /** A process that is still listed this long after its crash runs; entries lapse earlier. */
  private static final long ALIVE_MILLIS = 10_000;

  /** A node that has just started does not know yet what runs to its end. */
  private static final long OBSERVATION_MILLIS = 2_000;

  /** Source of news that no other node has sent. */
  private static final String THIS_NODE = "";

  private final PeerTransport peers;
  private final InstantSource clock;
  private final InstantSource utcClock;
  private final VerdictStore store;
  private final Sink sink;
  private final EventSink events;
  private final Set<String> greetedPeers = new HashSet<>();
  private final Set<String> observedProcesses = new HashSet<>();
  private final long startedMillis;
  private CrashLedger ledger = CrashLedger.empty();

  /**
   * Receives what concerns the requests of this node.
   *
   * @param view receives each new view of the crashes
   * @param report receives each new report, to look for successful runs of its suspects
   * @param trial receives a fingerprint and the software on which this node may try one request
   */
  public record Sink(
      Consumer<CrashView> view,
      Consumer<CrashReport> report,
      BiConsumer<Fingerprint, String> trial) {}

  /**
   * Creates a control without crashes.
   *
   * @param peers sends frames to other nodes
   * @param clock monotonic clock
   * @param utcClock time of day
   * @param store keeps the verdicts in the project's own table
   * @param sink receives what concerns the requests of this node
   * @param events the log
   */
  public CrashControl(
      PeerTransport peers,
      InstantSource clock,
      InstantSource utcClock,
      VerdictStore store,
      Sink sink,
      EventSink events) {
    this.peers = peers;
    this.clock = clock;
    this.utcClock = utcClock;
    this.store = store;
    this.sink = sink;
    this.events = events;
    this.startedMillis = clock.millis();
  }

  /**
   * Handles a crash of a process that ran requests of this node.
   *
   * @param report the crash
   * @param evidence how the crash showed, for the log
   */
  public void onCrash(CrashReport report, String evidence) {
    events.record(
        EventKind.SERVER_CRASHED,
        report.process(),
        "%s, %s, ran %s".formatted(evidence, report.software(), report.suspects().keySet()));
    observedProcesses.add(report.process());
    apply(THIS_NODE, CrashNews.newBuilder().addCrashes(CrashCodec.encode(report, 0)).build());
  }

  /** Handles successful runs of suspects at this node. */
  public void onSuccess(String software, Collection<Fingerprint> fingerprints) {
    SuccessfulRuns.Builder runs =
        SuccessfulRuns.newBuilder()
            .setSoftware(software)
            .addAllFingerprints(CrashCodec.bits(fingerprints));
    apply(THIS_NODE, CrashNews.newBuilder().addSuccesses(runs).build());
  }

  /**
   * Handles a request that was refused for a condemned fingerprint. If a request with the
   * fingerprint may be tried on software of its service, this node may be the one to try it.
   *
   * @param fingerprint the fingerprint
   * @param software the software of the servers that could run the request
   */
  public void onRefusal(Fingerprint fingerprint, Collection<String> software) {
    CrashLedger next = ledger.withRefusal(fingerprint, utcClock.millis());
    if (next != ledger) {
      update(next);
      forward(THIS_NODE, allVerdicts().build());
    }
    ledger
        .verdict(fingerprint)
        .ifPresent(
            verdict ->
                software.stream()
                    .filter(s -> verdict.mayTry(s, utcClock.millis()))
                    .findFirst()
                    .ifPresent(untried -> claimTrial(verdict, untried)));
  }

  private void claimTrial(CrashVerdict verdict, String software) {
    CrashVerdict tried = verdict.withTrial(software);
    CrashLedger claimed = ledger.withVerdict(tried, utcClock.millis());
    store.claim(
        claimed.verdicts(),
        () -> {
          events.record(
              EventKind.CRASH_VERDICT,
              verdict.fingerprint().toString(),
              "one request may run on " + software);
          update(ledger.withVerdict(tried, utcClock.millis()));
          forward(THIS_NODE, allVerdicts().build());
          sink.trial().accept(verdict.fingerprint(), software);
        });
  }

  /** Handles what another node has learned. */
  public void onNews(String node, CrashNews news) {
    if (news.getFirst()) {
      send(node, everything());
    }
    apply(node, news);
  }

  /** Applies rows of the project's own table. */
  public void onRows(List<Row> rows, boolean full) {
    CrashLedger next = ledger;
    for (CrashVerdict verdict : store.onRows(rows, full)) {
      next = next.withVerdict(verdict, utcClock.millis());
    }
    update(next);
  }

  /**
   * Reaches the verdicts that are due, and sends the ledger to nodes that have connected.
   *
   * @param isRunning whether a process is listed by an up-to-date list of servers
   */
  public void tick(Predicate<String> isRunning) {
    long nowMillis = clock.millis();
    CrashLedger next = ledger;
    for (CrashReport crash : ledger.crashes()) {
      boolean due = ledger.crashAgeMillis(crash.process(), nowMillis) >= ALIVE_MILLIS;
      if (due && isRunning.test(crash.process())) {
        events.record(EventKind.SERVER_SEEN, crash.process(), "still runs, it had not crashed");
        next = next.withoutCrash(crash.process(), utcClock.millis());
      }
    }
    next =
        nowMillis - startedMillis < OBSERVATION_MILLIS
            ? next.withoutExpired(nowMillis, utcClock.millis())
            : next.settle(nowMillis, utcClock.millis());
    if (next != ledger) {
      boolean reached = !next.verdicts().equals(ledger.verdicts());
      update(next);
      if (reached) {
        if (hasObserved(next)) {
          store.writeSoon();
        }
        forward(THIS_NODE, allVerdicts().build());
      }
    }
    greetNewPeers();
    store.tick(ledger.verdicts());
  }

  /** Returns whether a condemned fingerprint ran at a crash that this node has observed itself. */
  private boolean hasObserved(CrashLedger next) {
    observedProcesses.removeIf(process -> !next.isCrashRecorded(process));
    Set<Fingerprint> condemned = next.view().condemned().keySet();
    return next.crashes().stream()
        .filter(crash -> observedProcesses.contains(crash.process()))
        .anyMatch(crash -> crash.suspects().keySet().stream().anyMatch(condemned::contains));
  }

  private void greetNewPeers() {
    Set<String> connected = peers.connectedNodes();
    greetedPeers.retainAll(connected);
    for (String node : connected) {
      if (greetedPeers.add(node)) {
        send(node, everything().toBuilder().setFirst(true).build());
      }
    }
  }

  /** Applies news and forwards them to the other nodes if anything in them is new. */
  private void apply(String source, CrashNews news) {
    long nowMillis = clock.millis();
    long utcMillis = utcClock.millis();
    CrashLedger next = ledger;
    for (ProcessCrash message : news.getCrashesList()) {
      CrashReport report = CrashCodec.decode(message);
      CrashLedger with =
          next.withCrash(report, nowMillis - Math.max(0, message.getAgeMillis()), nowMillis);
      if (with != next) {
        sink.report().accept(report);
      }
      next = with;
    }
    for (SuccessfulRuns runs : news.getSuccessesList()) {
      for (Fingerprint fingerprint : CrashCodec.fingerprints(runs.getFingerprintsList())) {
        next = next.withSuccess(fingerprint, runs.getSoftware(), utcMillis);
      }
    }
    for (var message : news.getVerdictsList()) {
      next = next.withVerdict(CrashCodec.decode(message), utcMillis);
    }
    if (next != ledger) {
      update(next);
      forward(source, news.toBuilder().setFirst(false).build());
    }
  }

  private void update(CrashLedger next) {
    if (next == ledger) {
      return;
    }
    logChanges(next);
    ledger = next;
    sink.view().accept(next.view());
  }

  private void logChanges(CrashLedger next) {
    for (CrashVerdict verdict : next.verdicts()) {
      boolean known =
          ledger.verdicts().stream()
              .anyMatch(
                  before ->
                      before.fingerprint().equals(verdict.fingerprint())
                          && before.generation() == verdict.generation());
      if (!known) {
        events.record(
            EventKind.CRASH_VERDICT,
            verdict.fingerprint().toString(),
            "%s, %d crashes known here, software %s"
                .formatted(
                    verdict.condemned() ? "refused from now on" : "no longer refused",
                    next.crashCount(verdict.fingerprint()),
                    verdict.crashedSoftware()));
      }
    }
  }

  private CrashNews everything() {
    CrashNews.Builder news = allVerdicts();
    long nowMillis = clock.millis();
    for (CrashReport crash : ledger.crashes()) {
      news.addCrashes(CrashCodec.encode(crash, ledger.crashAgeMillis(crash.process(), nowMillis)));
    }
    ledger
        .acquittedBySoftware()
        .forEach(
            (software, fingerprints) ->
                news.addSuccesses(
                    SuccessfulRuns.newBuilder()
                        .setSoftware(software)
                        .addAllFingerprints(CrashCodec.bits(fingerprints))));
    return news.build();
  }

  private CrashNews.Builder allVerdicts() {
    CrashNews.Builder news = CrashNews.newBuilder();
    ledger.verdicts().forEach(verdict -> news.addVerdicts(CrashCodec.encode(verdict)));
    return news;
  }

  private void forward(String source, CrashNews news) {
    for (String node : peers.connectedNodes()) {
      if (!node.equals(source)) {
        send(node, news);
      }
    }
  }

  private void send(String node, CrashNews news) {
    peers.send(node, PeerFrame.newBuilder().setCrashNews(news));
  }
}
