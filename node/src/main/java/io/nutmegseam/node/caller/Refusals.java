package io.nutmegseam.node.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.core.backend.BackendException;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RanStatus;
import io.nutmegseam.core.error.RequestException;

/** Makes the errors of the request path, and their answers. */
public final class Refusals {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private Refusals() {}

  /** Returns the error of a request whose deadline leaves no time for its work any more. */
  static RequestException expiredInQueue(Call call, long waitedMillis) {
    return new RequestException(
        ErrorKind.EXPIRED_IN_QUEUE,
        "\"%s\" was not ready after %d ms".formatted(call.name(), waitedMillis),
        RETRY_AFTER_MILLIS);
  }

  /** Returns the error of a request that no backend server can take. */
  static RequestException noBackendServer(Call call) {
    return new RequestException(
        ErrorKind.NO_BACKEND_SERVER,
        "no backend server can run \"%s\" now".formatted(call.name()),
        RETRY_AFTER_MILLIS);
  }

  /** Returns the error of a request that was seen at too many crashes. */
  static RequestException repeatedCrash(Call call, int strikes) {
    return new RequestException(
        ErrorKind.REPEATED_CRASH,
        "request %s ran at %d crashes of backend servers".formatted(call.id(), strikes));
  }

  /** Returns the error of a node that takes no requests. */
  static RequestException notReady(String reason) {
    return new RequestException(ErrorKind.NOT_READY, reason, RETRY_AFTER_MILLIS);
  }

  /** Returns the error of a request whose last attempt failed. */
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
   * Returns the error of a request after all its attempts. An error that says "not run" is replaced
   * if an earlier attempt may have run.
   */
  static RequestException afterAttempts(RequestException last, Tried tried) {
    boolean wouldBeWrong = !tried.mayHaveRun().isEmpty() && last.kind().ran() == RanStatus.NO;
    return wouldBeWrong
        ? new RequestException(
            ErrorKind.BACKEND_LOST, "an attempt may have run, then: " + last.getMessage())
        : last;
  }

  /** Returns the JSON body of an error. */
  public static String body(RequestException error) {
    ObjectNode node = JSON.createObjectNode();
    ObjectNode inner = node.putObject("error");
    inner.put("kind", error.kind().wireName());
    inner.put("message", error.getMessage());
    inner.put("ran", error.kind().ran().wireName());
    inner.put("retry", error.kind().retryAdvice().wireName());
    if (error.retryAfterMillis() > 0) {
      inner.put("retryAfterMillis", error.retryAfterMillis());
    }
    try {
      return JSON.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("error cannot be encoded: " + error, e);
    }
  }
}
