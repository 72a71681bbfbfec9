package io.nutmegseam.node.gateway;

import io.nutmegseam.core.crash.CrashReport;
import io.nutmegseam.core.crash.CrashVerdict;
import io.nutmegseam.core.crash.CrashView;
import io.nutmegseam.core.crash.Fingerprint;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.connection.BodyFraming;
import io.nutmegseam.node.control.TrafficTimer;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps requests that crash servers away from the servers, and observes which requests do. Confined
 * to the traffic thread.
 */
final class CrashGuard {
  /** With this number of unexplained crashes, a request gets a single attempt. */
  private static final int STRIKES_WITHOUT_RETRY = 2;

  /**
   * Time after which a response whose end its connection marks counts as whole, since the server
   * has not turned out to have crashed at that moment.
   */
  private static final long UNFRAMED_END_MILLIS = 2_000;

  private final Listener listener;
  private final CrashDetector detector;
  private final TrafficTimer timer;
  private final TrialPermits permits;
  private final RecentRuns recentRuns = new RecentRuns();
  private final Set<Guarded> guarded = new HashSet<>();
  private CrashView view = CrashView.EMPTY;

  /** Receives what is observed at this node. */
  interface Listener {
    /** Handles successful runs of suspects. */
    void onSuccess(String software, Collection<Fingerprint> fingerprints);

    /**
     * Handles a request that was refused for a condemned fingerprint.
     *
     * @param fingerprint the fingerprint
     * @param software the software of the servers that could run the request
     */
    void onRefusal(Fingerprint fingerprint, Collection<String> software);
  }

  /**
   * Whether a request may be sent to a server.
   *
   * @param refusedBy the verdict by which it must not be sent
   * @param onlyVersion the software version that the server must have; empty if any will do
   */
  record Admission(Optional<CrashVerdict> refusedBy, Optional<String> onlyVersion) {}

  /** A request in progress. */
  interface Guarded {
    /** Returns the fingerprints of the request. */
    RequestFingerprints fingerprints();

    /** Handles a verdict that was reached after the request had been admitted. */
    void onCondemned(CrashVerdict verdict);
  }

  /**
   * Creates a guard without verdicts.
   *
   * @param permits permits to try requests on other software
   * @param detector detects crashes of servers
   * @param timer runs delayed tasks on the traffic thread
   * @param listener receives what is observed
   */
  CrashGuard(TrialPermits permits, CrashDetector detector, TrafficTimer timer, Listener listener) {
    this.permits = permits;
    this.detector = detector;
    this.timer = timer;
    this.listener = listener;
  }

  /** Returns the service and software version of a server, as in crash reports. */
  static String software(ServerEntry server) {
    return software(server.service(), server.softwareVersion());
  }

  private static String software(String service, String version) {
    return service + " " + version;
  }

  /** Adds a request in progress. */
  void add(Guarded request) {
    guarded.add(request);
  }

  /** Removes a request that has ended. */
  void remove(Guarded request) {
    guarded.remove(request);
    permits.onEnded(request);
  }

  /**
   * Decides whether a request may be sent to a server now.
   *
   * @param request the request
   * @param service service of the request
   * @param versions software versions of the servers of the service
   */
  Admission admit(Guarded request, String service, Set<String> versions) {
    Optional<CrashVerdict> found = view.findVerdict(request.fingerprints().all());
    if (found.isEmpty()) {
      return new Admission(Optional.empty(), Optional.empty());
    }
    CrashVerdict verdict = found.get();
    Map<String, String> versionBySoftware = new HashMap<>();
    versions.forEach(version -> versionBySoftware.put(software(service, version), version));
    Optional<String> sound =
        verdict.soundSoftware().stream().filter(versionBySoftware::containsKey).findFirst();
    Optional<String> admitted =
        sound.or(() -> permits.reserve(verdict.fingerprint(), request)).map(versionBySoftware::get);
    if (admitted.isPresent()) {
      return new Admission(Optional.empty(), admitted);
    }
    listener.onRefusal(verdict.fingerprint(), versionBySoftware.keySet());
    return new Admission(found, Optional.empty());
  }

  /** Handles that a request is sent to a server. */
  void onSent(Guarded request) {
    permits.onSent(request);
  }

  /** Permits this node to try one request with a condemned fingerprint on other software. */
  void grantTrial(Fingerprint fingerprint, String software) {
    permits.grant(fingerprint, software);
  }

  /** Returns whether a request that may have run can be sent to another server. */
  boolean isRetryAllowed(RequestFingerprints fingerprints) {
    return view.maxStrikes(fingerprints.all()) < STRIKES_WITHOUT_RETRY;
  }

  /** Handles a connection that was lost while the server ran a request. */
  void onConnectionLost(ServerEntry server, RequestFingerprints fingerprints) {
    detector.onConnectionLost(server, fingerprints);
  }

  /**
   * Handles a complete response of success.
   *
   * @param server the server
   * @param fingerprints fingerprints of the request
   * @param framing how the end of the response was marked; a connection also ends with a crash
   */
  void onSucceeded(ServerEntry server, RequestFingerprints fingerprints, BodyFraming framing) {
    if (framing == BodyFraming.CONNECTION) {
      detector.onConnectionLost(server, fingerprints);
      timer.schedule(
          UNFRAMED_END_MILLIS,
          () -> {
            if (!detector.isSuspected(server)) {
              recordSuccess(software(server), fingerprints);
            }
          });
    } else {
      recordSuccess(software(server), fingerprints);
    }
  }

  private void recordSuccess(String software, RequestFingerprints fingerprints) {
    fingerprints.all().forEach(fingerprint -> recentRuns.add(fingerprint, software));
    List<Fingerprint> suspects = fingerprints.all().stream().filter(this::isSuspect).toList();
    if (!suspects.isEmpty()) {
      listener.onSuccess(software, suspects);
    }
  }

  private boolean isSuspect(Fingerprint fingerprint) {
    return view.strikes().containsKey(fingerprint) || view.condemned().containsKey(fingerprint);
  }

  /** Reports which suspects of a crash ran to their end at this node of late. */
  void onReport(CrashReport report) {
    List<Fingerprint> acquitted =
        report.suspects().keySet().stream()
            .filter(suspect -> recentRuns.contains(suspect, report.software()))
            .toList();
    if (!acquitted.isEmpty()) {
      listener.onSuccess(report.software(), acquitted);
    }
  }

  /** Reports that a condemned fingerprint ran to its end at this node of late. */
  private void reportRecentRuns(CrashVerdict verdict) {
    for (String software : verdict.crashedSoftware()) {
      if (recentRuns.contains(verdict.fingerprint(), software)) {
        listener.onSuccess(software, List.of(verdict.fingerprint()));
      }
    }
  }

  /**
   * Applies a new view of the crashes to further requests, and new verdicts to those in progress.
   */
  void onView(CrashView next) {
    Map<Fingerprint, CrashVerdict> added = new HashMap<>(next.condemned());
    added.keySet().removeAll(view.condemned().keySet());
    view = next;
    if (added.isEmpty()) {
      return;
    }
    added.values().forEach(this::reportRecentRuns);
    CrashView addedView = new CrashView(added, Map.of());
    for (Guarded request : List.copyOf(guarded)) {
      addedView.findVerdict(request.fingerprints().all()).ifPresent(request::onCondemned);
    }
  }
}
