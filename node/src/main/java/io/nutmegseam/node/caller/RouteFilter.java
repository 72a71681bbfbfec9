package io.nutmegseam.node.caller;

import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.core.config.PolicyRecord;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.placement.PlacementRules;
import io.nutmegseam.core.retry.RetryBudget;
import io.nutmegseam.node.control.LoadBoard;
import io.nutmegseam.node.control.RoutingTable;
import io.nutmegseam.node.control.StrikeControl;
import io.nutmegseam.node.control.TableHolder;
import java.time.Clock;
import java.util.List;

/**
 * Chooses a backend server for each attempt and decides about further attempts. A request that may
 * not be repeated gets another attempt only if the last one certainly did not run.
 */
public final class RouteFilter {
  private final TableHolder tables;
  private final LoadBoard loads;
  private final TargetChooser chooser;
  private final RetryBudget retries;
  private final StrikeControl strikes;
  private final CrashProbe crashProbe;
  private final Clock monotonic;
  private final EventSink events;
  private final Quarantine quarantine = new Quarantine();

  /** Names the crash of a server, if the server has died since a request was sent to it. */
  @FunctionalInterface
  public interface CrashProbe {
    /**
     * Looks for a crash.
     *
     * @param server the server
     * @param incarnation the engine's incarnation when the request was sent
     * @return whether that incarnation is gone
     */
    boolean isGone(BackendServerRecord server, String incarnation);
  }

  /**
   * Creates the filter.
   *
   * @param tables holds the routing table
   * @param loads the load of backend servers
   * @param chooser waits for and chooses backend servers
   * @param retries the retry budget
   * @param strikes suspected requests
   * @param crashProbe looks for crashes
   * @param monotonic monotonic clock
   * @param events event log
   */
  public RouteFilter(
      TableHolder tables,
      LoadBoard loads,
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

  /** One attempt at the chosen backend server. */
  @FunctionalInterface
  public interface Dispatch {
    /**
     * Runs one attempt.
     *
     * @param call the request with its target
     * @param sink the way back to the caller
     * @return the answer that was sent
     * @throws AttemptException if the attempt fails
     */
    Answered run(Call call, AnswerSink sink) throws AttemptException;
  }

  /**
   * Runs a request until it is answered.
   *
   * @param call the request
   * @param sink the way back to the caller
   * @param dispatch runs one attempt
   * @return the answer that was sent
   * @throws RequestException if the request is refused or its last attempt fails
   */
  public Answered run(Call call, AnswerSink sink, Dispatch dispatch) throws RequestException {
    PolicyRecord policy = tables.current().catalog().policy();
    retries.onFreshRequest(policy.retryPercent());
    int known = strikes.strikes(call.fingerprint());
    if (known >= policy.maxStrikes()) {
      throw Refusals.repeatedCrash(call, known);
    }
    return known > 0
        ? quarantined(call, sink, dispatch, policy)
        : attempts(call, sink, dispatch, policy);
  }

  private Answered quarantined(Call call, AnswerSink sink, Dispatch dispatch, PolicyRecord policy)
      throws RequestException {
    long startedMillis = monotonic.millis();
    if (!quarantine.tryEnter(call.deadlineMillis() - startedMillis)) {
      throw Refusals.expiredInQueue(call, monotonic.millis() - startedMillis);
    }
    try {
      return attempts(call, sink, dispatch, policy);
    } finally {
      quarantine.leave();
    }
  }

  private Answered attempts(Call call, AnswerSink sink, Dispatch dispatch, PolicyRecord policy)
      throws RequestException {
    Tried tried = Tried.none();
    int attempt = 0;
    while (true) {
      BackendServerRecord target = choose(call, tried);
      String incarnation = incarnation(target);
      boolean crashedBefore = strikes.knowsCrash(crash(target, incarnation));
      loads.begin(target.name());
      try {
        Answered answered = dispatch.run(call.at(target, attempt), sink);
        loads.outcome(target.name(), true);
        return answered;
      } catch (AttemptException failure) {
        if (loads.outcome(target.name(), failure.reason().provedNotRun())) {
          events.record(EventKind.SERVER_EJECTED, target.name(), failure.getMessage());
        }
        if (!crashedBefore) {
          noteCrash(call, target, incarnation, failure, policy);
        }
        tried = tried.with(target.name(), failure.reason().provedNotRun());
        checkRepeat(call, sink, failure, tried);
        attempt++;
        events.record(EventKind.REQUEST_RETRIED, call.id(), failure.getMessage());
      } finally {
        loads.end(target.name());
      }
    }
  }

  private BackendServerRecord choose(Call call, Tried tried) throws RequestException {
    try {
      return chooser.choose(call, tried);
    } catch (RequestException e) {
      throw Refusals.afterAttempts(e, tried);
    }
  }

  /** Returns normally if a further attempt is allowed. */
  private void checkRepeat(Call call, AnswerSink sink, AttemptException failure, Tried tried)
      throws RequestException {
    boolean inTime = monotonic.millis() < call.deadlineMillis();
    boolean harmless = failure.reason().provedNotRun() || call.idempotent();
    boolean elsewhere = failure.reason().provedNotRun() || hasUntried(call, tried);
    boolean allowed = harmless && inTime && elsewhere && !sink.isStarted();
    if (!allowed || !retries.tryRetry()) {
      throw Refusals.afterAttempts(Refusals.attemptFailed(failure, !inTime), tried);
    }
  }

  private boolean hasUntried(Call call, Tried tried) {
    RoutingTable table = tables.current();
    List<String> servers =
        call.isCompletion()
            ? PlacementRules.allowedServers(call.name(), table.catalog(), table.placements())
            : table.serversOfService(call.name()).stream().map(BackendServerRecord::name).toList();
    return !tried.mayHaveRun().containsAll(servers);
  }

  private void noteCrash(
      Call call,
      BackendServerRecord target,
      String incarnation,
      AttemptException failure,
      PolicyRecord policy)
      throws RequestException {
    boolean lost = failure.reason().outcome() == BackendException.Outcome.CONNECTION_LOST;
    if (call.isCompletion() && lost && crashProbe.isGone(target, incarnation)) {
      strikes.strike(call.fingerprint(), crash(target, incarnation));
      int known = strikes.strikes(call.fingerprint());
      if (known >= policy.maxStrikes()) {
        throw Refusals.repeatedCrash(call, known);
      }
    }
  }

  private static String crash(BackendServerRecord target, String incarnation) {
    return target.name() + "@" + incarnation;
  }

  private String incarnation(BackendServerRecord target) {
    return tables.current().view(target.name()).map(view -> view.engineIncarnation()).orElse("");
  }
}
