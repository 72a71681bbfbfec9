package io.nutmegseam.core.admission;

import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;

/** Decides at once whether a request is taken. */
public final class AdmissionRule {
  /** A refused caller comes back no sooner than this. */
  private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

  private AdmissionRule() {}

  /**
   * What the rule looks at.
   *
   * @param unit the model or adapter
   * @param waiting requests of the same unit and class that wait at this node
   * @param queueLimit most of them
   * @param remainingMillis time left until the request's deadline, in milliseconds
   * @param expectedWaitMillis expected time until a server can start the request
   * @param servicePossible whether a server exists that may run the unit
   */
  public record Situation(
      String unit,
      int waiting,
      int queueLimit,
      long remainingMillis,
      long expectedWaitMillis,
      boolean servicePossible) {}

  /**
   * Checks a request.
   *
   * @param situation what the rule looks at
   * @throws RequestException if the request is refused
   */
  public static void check(Situation situation) throws RequestException {
    if (!situation.servicePossible()) {
      throw new RequestException(
          ErrorKind.NO_BACKEND_SERVER,
          "no backend server can run \"%s\" now".formatted(situation.unit()),
          retryAfter(situation));
    }
    if (situation.waiting() >= situation.queueLimit()) {
      throw new RequestException(
          ErrorKind.QUEUE_FULL,
          "%d requests wait for \"%s\", the limit is %d"
              .formatted(situation.waiting(), situation.unit(), situation.queueLimit()),
          retryAfter(situation));
    }
    if (situation.expectedWaitMillis() > situation.remainingMillis()) {
      throw new RequestException(
          ErrorKind.DEADLINE_INFEASIBLE,
          "\"%s\" is expected to be ready in %d ms, the deadline is in %d ms"
              .formatted(
                  situation.unit(), situation.expectedWaitMillis(), situation.remainingMillis()),
          retryAfter(situation));
    }
  }

  private static long retryAfter(Situation situation) {
    return Math.max(situation.expectedWaitMillis(), MIN_RETRY_AFTER_MILLIS);
  }
}
