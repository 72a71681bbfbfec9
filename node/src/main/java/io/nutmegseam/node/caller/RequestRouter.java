package io.nutmegseam.node.caller;

import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.PolicyRecord;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.placement.PlacementRules;
import io.nutmegseam.core.retry.RetryBudget;
import io.nutmegseam.node.control.RoutingTable;
import io.nutmegseam.node.control.RoutingTablePublisher;
import io.nutmegseam.node.control.ServerLoadTracker;
import io.nutmegseam.node.control.StrikeControl;
import java.time.Clock;
import java.util.List;

/**
 * Chooses a backend server for each attempt and decides whether to retry. Retries a request that is
 * not idempotent only if the last attempt certainly did not run.
 */
public final class RequestRouter {
  private final RoutingTablePublisher tables;
  private final ServerLoadTracker loads;
  private final TargetChooser chooser;
  private final RetryBudget retries;
  private final StrikeControl strikes;
  private final CrashProbe crashProbe;
  private final Clock monotonic;
  private final EventSink events;
  private final Quarantine quarantine = new Quarantine();

  /** Checks whether a backend server has crashed since a request was sent to it. */
  @FunctionalInterface
  public interface CrashProbe {
    /**
     * Checks whether an engine incarnation no longer runs.
     *
     * @param server the backend server
     * @param incarnation the engine's incarnation when the request was sent
     * @return whether that incarnation no longer runs
     */
    boolean hasCrashed(BackendServerRecord server, String incarnation);
  }

  /**
   * Creates the router.
   *
   * @param tables publishes the routing table
   * @param loads the load and the failures of backend servers
   * @param chooser waits for backend servers and chooses one
   * @param retries the retry budget
   * @param strikes the crashes during which requests were running
   * @param crashProbe checks for crashes of backend servers
   * @param monotonic monotonic clock
   * @param events event log
   */
  public RequestRouter(
      RoutingTablePublisher tables,
      ServerLoadTracker loads,
      TargetChooser chooser,
      RetryBudget retries,
      StrikeControl strikes,
      CrashProbe crashProbe,
      Clock monotonic,
      EventSink events) {
    this.tables = tables;
    this.loads = loads;
    this.chooser = chooser;
    this.retries = retries;
    this.strikes = strikes;
    this.crashProbe = crashProbe;
    this.monotonic = monotonic;
    this.events = events;
  }

  /** Sends a request to its chosen backend server. */
  @FunctionalInterface
  public interface Dispatch {
    /**
     * Runs one attempt and sends its response to the caller.
     *
     * @param request the request with its target
     * @param sink sends the response to the caller
     * @return the response that was sent
     * @throws AttemptException if the attempt fails
     */
    SentResponse run(CallerRequest request, ResponseSink sink) throws AttemptException;
  }

  /**
   * Runs a request, with retries, until its response is sent or it fails.
   *
   * @param request the request
   * @param sink sends the response to the caller
   * @param dispatch runs one attempt
   * @return the response that was sent
   * @throws RequestException if the request is refused or its last attempt fails, or if it was
   *     running during too many crashes
   */
  public SentResponse run(CallerRequest request, ResponseSink sink, Dispatch dispatch)
      throws RequestException {
    PolicyRecord policy = tables.current().catalog().policy();
    retries.onNewRequest(policy.retryPercent());
    int strikeCount = strikes.strikeCount(request.fingerprint());
    if (strikeCount >= policy.maxStrikes()) {
      throw RequestErrors.repeatedCrash(request, strikeCount);
    }
    return strikeCount > 0
        ? runQuarantined(request, sink, dispatch, policy)
        : runAttempts(request, sink, dispatch, policy);
  }

  private SentResponse runQuarantined(
      CallerRequest request, ResponseSink sink, Dispatch dispatch, PolicyRecord policy)
      throws RequestException {
    long startedMillis = monotonic.millis();
    if (!quarantine.tryEnter(request.deadlineMillis() - startedMillis)) {
      throw RequestErrors.expiredInQueue(request, monotonic.millis() - startedMillis);
    }
    try {
      return runAttempts(request, sink, dispatch, policy);
    } finally {
      quarantine.leave();
    }
  }

  private SentResponse runAttempts(
      CallerRequest request, ResponseSink sink, Dispatch dispatch, PolicyRecord policy)
      throws RequestException {
    AttemptedServers attempted = AttemptedServers.none();
    int attempt = 0;
    while (true) {
      BackendServerRecord target = choose(request, attempted);
      String incarnation = incarnation(target);
      boolean crashAlreadyKnown = strikes.isCrashRecorded(crashId(target, incarnation));
      loads.onRequestStarted(target.name());
      try {
        SentResponse response = dispatch.run(request.withTarget(target, attempt), sink);
        loads.recordOutcome(target.name(), true);
        strikes.onSucceeded(request.fingerprint());
        return response;
      } catch (AttemptException failure) {
        if (loads.recordOutcome(target.name(), failure.reason().provedNotRun())) {
          events.record(EventKind.SERVER_EJECTED, target.name(), failure.getMessage());
        }
        if (!crashAlreadyKnown) {
          recordCrash(request, target, incarnation, failure, policy);
        }
        attempted = attempted.with(target.name(), failure.reason().provedNotRun());
        checkRetryAllowed(request, sink, failure, attempted);
        attempt++;
        events.record(EventKind.REQUEST_RETRIED, request.id(), failure.getMessage());
      } finally {
        loads.onRequestEnded(target.name());
      }
    }
  }

  private BackendServerRecord choose(CallerRequest request, AttemptedServers attempted)
      throws RequestException {
    try {
      return chooser.choose(request, attempted);
    } catch (RequestException e) {
      throw RequestErrors.afterAttempts(e, attempted);
    }
  }

  /** Throws the final error of the request unless a retry is allowed. */
  private void checkRetryAllowed(
      CallerRequest request,
      ResponseSink sink,
      AttemptException failure,
      AttemptedServers attempted)
      throws RequestException {
    boolean beforeDeadline = monotonic.millis() < request.deadlineMillis();
    boolean safeToRepeat = failure.reason().provedNotRun() || request.idempotent();
    boolean hasCandidate = failure.reason().provedNotRun() || hasOtherServer(request, attempted);
    boolean allowed = safeToRepeat && beforeDeadline && hasCandidate && !sink.isStarted();
    if (!allowed || !retries.tryAcquire()) {
      throw RequestErrors.afterAttempts(
          RequestErrors.attemptFailed(failure, !beforeDeadline), attempted);
    }
  }

  private boolean hasOtherServer(CallerRequest request, AttemptedServers attempted) {
    RoutingTable table = tables.current();
    List<String> servers =
        request.isCompletion()
            ? PlacementRules.allowedServers(request.name(), table.catalog(), table.placements())
            : table.serversOfService(request.name()).stream()
                .map(BackendServerRecord::name)
                .toList();
    return !attempted.mayHaveRun().containsAll(servers);
  }

  private void recordCrash(
      CallerRequest request,
      BackendServerRecord target,
      String incarnation,
      AttemptException failure,
      PolicyRecord policy)
      throws RequestException {
    boolean connectionLost = failure.reason().outcome() == BackendException.Outcome.CONNECTION_LOST;
    if (request.isCompletion() && connectionLost && crashProbe.hasCrashed(target, incarnation)) {
      strikes.addStrike(request.fingerprint(), crashId(target, incarnation));
      int strikeCount = strikes.strikeCount(request.fingerprint());
      if (strikeCount >= policy.maxStrikes()) {
        throw RequestErrors.repeatedCrash(request, strikeCount);
      }
    }
  }

  private static String crashId(BackendServerRecord target, String incarnation) {
    return target.name() + "@" + incarnation;
  }

  private String incarnation(BackendServerRecord target) {
    return tables.current().view(target.name()).map(view -> view.engineIncarnation()).orElse("");
  }
}
