package io.nutmegseam.core.admission;

import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;

/** Decides on arrival whether a request is accepted. */
public final class AdmissionRule {
  /** Shortest delay after which a refused caller is told to retry. */
  private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

  private AdmissionRule() {}

  /**
   * The values on which the decision depends.
   *
   * @param unit name of the requested model, adapter or plain service
   * @param waiting number of requests of the same unit and class that wait at this node
   * @param queueLimit largest number of such requests that may wait
   * @param remainingMillis time left until the request's deadline, in milliseconds
   * @param expectedCompletionMillis expected time until the request completes, in milliseconds: the
   *     wait for a load of the unit, and the service time
   * @param serverAvailable whether a server exists that can run the unit now
   */
  public record Inputs(
      String unit,
      int waiting,
      int queueLimit,
      long remainingMillis,
      long expectedCompletionMillis,
      boolean serverAvailable) {}

  /**
   * Refuses a request unless a server can run it, its queue is not full and it is expected to
   * complete by its deadline.
   *
   * @param inputs the values on which the decision depends
   * @throws RequestException if the request is refused, with the time after which to retry
   */
  public static void check(Inputs inputs) throws RequestException {
    if (!inputs.serverAvailable()) {
      throw new RequestException(
          ErrorKind.NO_BACKEND_SERVER,
          "no backend server can run \"%s\" now".formatted(inputs.unit()),
          retryAfter(inputs));
    }
    if (inputs.waiting() >= inputs.queueLimit()) {
      throw new RequestException(
          ErrorKind.QUEUE_FULL,
          "%d requests wait for \"%s\", the limit is %d"
              .formatted(inputs.waiting(), inputs.unit(), inputs.queueLimit()),
          retryAfter(inputs));
    }
    if (inputs.expectedCompletionMillis() > inputs.remainingMillis()) {
      throw new RequestException(
          ErrorKind.DEADLINE_INFEASIBLE,
          "the response of \"%s\" is expected in %d ms, the deadline is in %d ms"
              .formatted(
                  inputs.unit(), inputs.expectedCompletionMillis(), inputs.remainingMillis()),
          retryAfter(inputs));
    }
  }

  private static long retryAfter(Inputs inputs) {
    return Math.max(inputs.expectedCompletionMillis(), MIN_RETRY_AFTER_MILLIS);
  }
}
