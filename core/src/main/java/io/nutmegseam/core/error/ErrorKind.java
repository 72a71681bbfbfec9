package io.nutmegseam.core.error;

/** Every kind of error that a caller or an operator can be given, with its answer. */
public enum ErrorKind {
  /** The request is not valid JSON or lacks a field. */
  BAD_REQUEST(400, RanStatus.NO, RetryAdvice.NEVER),
  /** A header is missing a value or is outside its range. */
  HEADER_OUT_OF_RANGE(400, RanStatus.NO, RetryAdvice.NEVER),
  /** An unrepeatable call came without an idempotency key. */
  MISSING_IDEMPOTENCY_KEY(400, RanStatus.NO, RetryAdvice.NEVER),
  /** An operator record is not valid. */
  INVALID_RECORD(400, RanStatus.NO, RetryAdvice.NEVER),
  /** The credentials are missing or wrong. */
  UNAUTHENTICATED(401, RanStatus.NO, RetryAdvice.NEVER),
  /** No such path. */
  NOT_FOUND(404, RanStatus.NO, RetryAdvice.NEVER),
  /** No model or adapter of that name is declared. */
  UNKNOWN_MODEL(404, RanStatus.NO, RetryAdvice.NEVER),
  /** No service of that name is declared. */
  UNKNOWN_SERVICE(404, RanStatus.NO, RetryAdvice.NEVER),
  /** No operator record of that kind and name. */
  UNKNOWN_RECORD(404, RanStatus.NO, RetryAdvice.NEVER),
  /** The idempotency key was used with another request body. */
  IDEMPOTENCY_CONFLICT(409, RanStatus.NO, RetryAdvice.NEVER),
  /** A request with the same idempotency key is running now. */
  CALL_IN_PROGRESS(409, RanStatus.UNKNOWN, RetryAdvice.SAME_KEY),
  /** An earlier request with the same idempotency key ended with an unknown outcome. */
  OUTCOME_UNKNOWN(409, RanStatus.UNKNOWN, RetryAdvice.NEVER),
  /** The configuration has moved past the revision that the operator named. */
  REVISION_CONFLICT(409, RanStatus.NO, RetryAdvice.LATER),
  /** A live node cannot read the schema version of the record. */
  UNREADABLE_VERSION(409, RanStatus.NO, RetryAdvice.LATER),
  /** The request body is over the limit. */
  BODY_TOO_LARGE(413, RanStatus.NO, RetryAdvice.NEVER),
  /** Earlier copies of the request crashed the backend servers that ran them. */
  REPEATED_CRASH(422, RanStatus.UNKNOWN, RetryAdvice.NEVER),
  /** The bounded queue of the model and class is full. */
  QUEUE_FULL(429, RanStatus.NO, RetryAdvice.LATER),
  /** The deadline cannot be met by the present estimate. */
  DEADLINE_INFEASIBLE(503, RanStatus.NO, RetryAdvice.LATER),
  /** The deadline passed while the request waited for a backend server. */
  EXPIRED_IN_QUEUE(503, RanStatus.NO, RetryAdvice.LATER),
  /** No backend server can take the request. */
  NO_BACKEND_SERVER(503, RanStatus.NO, RetryAdvice.LATER),
  /** The backend server proved that it did not run the request. */
  BACKEND_REFUSED(503, RanStatus.NO, RetryAdvice.LATER),
  /** The platform's table service cannot confirm the claim of an unrepeatable call. */
  PLATFORM_UNAVAILABLE(503, RanStatus.NO, RetryAdvice.LATER),
  /** The node is shutting down or not ready. */
  NOT_READY(503, RanStatus.NO, RetryAdvice.LATER),
  /** The connection to the backend server was lost after the request was sent. */
  BACKEND_LOST(502, RanStatus.UNKNOWN, RetryAdvice.SAME_KEY),
  /** The backend server's answer ended before it was complete. */
  INCOMPLETE_ANSWER(502, RanStatus.UNKNOWN, RetryAdvice.SAME_KEY),
  /** The deadline passed after the request was sent. */
  DEADLINE_EXCEEDED(504, RanStatus.UNKNOWN, RetryAdvice.SAME_KEY),
  /** A fault of the node itself. */
  INTERNAL(500, RanStatus.UNKNOWN, RetryAdvice.SAME_KEY);

  private final int httpStatus;
  private final RanStatus ran;
  private final RetryAdvice retryAdvice;

  ErrorKind(int httpStatus, RanStatus ran, RetryAdvice retryAdvice) {
    this.httpStatus = httpStatus;
    this.ran = ran;
    this.retryAdvice = retryAdvice;
  }

  /** Returns the status code of the HTTP answer. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns whether the request may have run. */
  public RanStatus ran() {
    return ran;
  }

  /** Returns what the caller may do next. */
  public RetryAdvice retryAdvice() {
    return retryAdvice;
  }

  /** Returns the word used in answers, such as {@code queue-full}. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
