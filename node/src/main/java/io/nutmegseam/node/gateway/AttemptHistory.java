package io.nutmegseam.node.gateway;

import io.nutmegseam.core.error.RanStatus;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;

/** Counts the attempts of one request. Confined to the traffic thread. */
final class AttemptHistory {
  /** Maximum number of attempts for a request that is known not to have run. */
  private static final int MAX_DISPATCHES = 4;

  private int dispatches;
  private int runs;

  /**
   * Creates a history.
   *
   * @param runsBefore number of servers at which the request may have run before it got here
   */
  AttemptHistory(int runsBefore) {
    runs = runsBefore;
  }

  /** Records that the request is sent to a server. */
  void onDispatched() {
    dispatches++;
  }

  /** Records that the request ran, or may have run, at a server. */
  void onRan() {
    runs++;
  }

  /** Records a failure of a server, or of a node that has used the attempts that were left. */
  void onFailed(ServerEntry server, Route route) {
    runs = PeerTargets.isPeer(server) ? Math.max(runs + 1, route.maxAttempts()) : runs + 1;
  }

  /** Records an attempt that is given up; the request may have run if it was sent. */
  void onAbandoned(Attempt attempt) {
    if (attempt != null && attempt.isSent()) {
      runs++;
    }
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
    return route.isRetryable() && runs < route.maxAttempts();
  }

  /**
   * Returns whether an error of a server can be replaced by the response of another one. An error
   * that comes through another node is the last of its attempts.
   */
  boolean canReplaceError(ServerEntry server, Route route) {
    return route.kind() == RequestKind.IDEMPOTENT
        && !PeerTargets.isPeer(server)
        && canRunAgainAfterThis(route);
  }

  /** Returns whether the request can be sent to another server if the present attempt fails. */
  boolean canRunAgainAfterThis(Route route) {
    return route.isRetryable() && runs + 1 < route.maxAttempts();
  }
}
