package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpStatusClass;
import io.nutmegseam.core.error.RanStatus;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** Counts the attempts of one request. Confined to the traffic thread. */
final class AttemptHistory {
  /** Maximum number of attempts for a request that is known not to have run. */
  private static final int MAX_DISPATCHES = 4;

  private final Optional<Integer> maxRuns;
  private int dispatches;
  private int runs;
  private int delegatedRuns = 1;

  /**
   * Creates a history.
   *
   * @param request the request, which another node may have sent
   */
  AttemptHistory(InboundRequest request) {
    runs = request.runsBefore();
    maxRuns = request.maxRuns();
  }

  /**
   * Records that the request is sent to a server, or to a node, to which attempts are delegated.
   * One is kept back for a node that does not respond, unless nothing else can serve the request.
   */
  void onDispatched(ServerEntry server, Route route, BooleanSupplier hasAlternative) {
    dispatches++;
    delegatedRuns = 1;
    if (PeerTargets.isPeer(server) && route.isRetryable()) {
      int left = Math.max(1, limit(route) - runs);
      delegatedRuns = left > 1 && hasAlternative.getAsBoolean() ? left - 1 : left;
    }
  }

  /** Records that the request ran, or may have run, where it was sent. */
  void onRan() {
    runs += delegatedRuns;
  }

  /** Records an error of a server, which may have come through a node. */
  void onFailed(Optional<PeerError> peerError, Route route) {
    runs += usedRuns(peerError, route);
  }

  /** Records an attempt that is given up; the request may have run if it was sent. */
  void onAbandoned(Attempt attempt) {
    if (attempt != null && attempt.isSent()) {
      runs += delegatedRuns;
    }
  }

  /** Returns the runs of an attempt; a node that does not tell them may have used all. */
  private int usedRuns(Optional<PeerError> peerError, Route route) {
    if (peerError.isEmpty()) {
      return delegatedRuns;
    }
    return peerError
        .get()
        .unusedRuns()
        .map(unused -> Math.max(0, delegatedRuns - Math.max(0, unused)))
        .orElseGet(() -> Math.max(delegatedRuns, limit(route) - runs));
  }

  private int limit(Route route) {
    return Math.min(maxRuns.orElse(Integer.MAX_VALUE), route.maxAttempts());
  }

  /** Returns at how many servers the node that the request is sent to may run it. */
  int delegatedRuns() {
    return delegatedRuns;
  }

  /** Returns the runs delegated to this node that are not used; empty if none were delegated. */
  Optional<Integer> unusedRuns() {
    return maxRuns.map(max -> Math.max(0, max - runs));
  }

  /** Returns the number of servers at which the request may have run. */
  int runs() {
    return runs;
  }

  /** Returns how often the request was sent to a server. */
  int dispatches() {
    return dispatches;
  }

  /** Returns whether the request may have run at a server. */
  boolean mayHaveRun() {
    return runs > 0;
  }

  /** Replaces an error that reports "not run" if the request may have run at a server. */
  RequestException withRunStatus(RequestException error) {
    return mayHaveRun() && error.kind().ran() == RanStatus.NO
        ? GatewayErrors.backendLost(error.getMessage())
        : error;
  }

  /** Returns whether a request that has not run can be sent once more. */
  boolean canDispatchAgain() {
    return dispatches < MAX_DISPATCHES;
  }

  /** Returns whether a request that may have run can be sent to another server. */
  boolean canRunAgain(Route route) {
    return route.isRetryable() && runs < limit(route);
  }

  /**
   * Returns whether an error of a server, or of a node, can be replaced by the response of another
   * one.
   */
  boolean canReplaceError(Optional<PeerError> peerError, Route route, HttpStatusClass statusClass) {
    boolean replaceable =
        peerError
            .map(error -> error.isReplaceable(route))
            .orElse(route.kind() == RequestKind.IDEMPOTENT);
    return statusClass == HttpStatusClass.SERVER_ERROR
        && replaceable
        && route.isRetryable()
        && runs + usedRuns(peerError, route) < limit(route);
  }

  /** Returns whether the request can be sent to another server if the present attempt fails. */
  boolean canRunAgainAfterThis(Route route) {
    return route.isRetryable() && runs + delegatedRuns < limit(route);
  }
}
