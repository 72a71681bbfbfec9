package io.nutmegseam.node.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RanStatus;
import io.nutmegseam.core.error.RequestException;

/** Creates the errors of failed requests, and their JSON form. */
public final class RequestErrors {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private RequestErrors() {}

  /**
   * Returns the error of a request that waited until too little time was left to run it before its
   * deadline.
   */
  static RequestException expiredInQueue(CallerRequest request, long waitedMillis) {
    return new RequestException(
        ErrorKind.EXPIRED_IN_QUEUE,
        "the request for \"%s\" was not started after a wait of %d ms"
            .formatted(request.name(), waitedMillis),
        RETRY_AFTER_MILLIS);
  }

  /** Returns the error of a request that no backend server can run now. */
  static RequestException noBackendServer(CallerRequest request) {
    return new RequestException(
        ErrorKind.NO_BACKEND_SERVER,
        "no backend server can run \"%s\" now".formatted(request.name()),
        RETRY_AFTER_MILLIS);
  }

  /** Returns the error of a request that was running during too many backend server crashes. */
  static RequestException repeatedCrash(CallerRequest request, int strikes) {
    return new RequestException(
        ErrorKind.REPEATED_CRASH,
        "request %s was running during %d crashes of backend servers"
            .formatted(request.id(), strikes));
  }

  /** Returns the error of a node that accepts no requests. */
  static RequestException notReady(String reason) {
    return new RequestException(ErrorKind.NOT_READY, reason, RETRY_AFTER_MILLIS);
  }

  /**
   * Returns the error of a request whose last attempt failed.
   *
   * @param failure the failure of the last attempt
   * @param deadlinePassed whether the deadline of the request has passed
   */
  static RequestException attemptFailed(AttemptException failure, boolean deadlinePassed) {
    BackendException reason = failure.reason();
    String message = String.valueOf(reason.getMessage());
    if (reason.provedNotRun()) {
      return new RequestException(ErrorKind.BACKEND_REFUSED, message, RETRY_AFTER_MILLIS);
    }
    if (deadlinePassed) {
      return new RequestException(ErrorKind.DEADLINE_EXCEEDED, message);
    }
    boolean partial = failure.receivedTokens() > 0;
    return new RequestException(
        partial ? ErrorKind.INCOMPLETE_ANSWER : ErrorKind.BACKEND_LOST, message);
  }

  /**
   * Returns the error of a request after all its attempts. Replaces an error that reports the
   * request as not run if an earlier attempt may have run it.
   */
  static RequestException afterAttempts(RequestException last, AttemptedServers attempted) {
    boolean wronglyReportsNotRun =
        !attempted.mayHaveRun().isEmpty() && last.kind().ran() == RanStatus.NO;
    return wronglyReportsNotRun
        ? new RequestException(
            ErrorKind.BACKEND_LOST,
            "an earlier attempt may have run; last error: " + last.getMessage())
        : last;
  }

  /** Returns the JSON body of an error. */
  public static String toJson(RequestException error) {
    ObjectNode root = JSON.createObjectNode();
    ObjectNode fields = root.putObject("error");
    fields.put("kind", error.kind().wireName());
    fields.put("message", error.getMessage());
    fields.put("ran", error.kind().ran().wireName());
    fields.put("retry", error.kind().retryAdvice().wireName());
    if (error.retryAfterMillis() > 0) {
      fields.put("retryAfterMillis", error.retryAfterMillis());
    }
    try {
      return JSON.writeValueAsString(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("error cannot be encoded as JSON: " + error, e);
    }
  }
}
