package io.nutmegseam.core.error;

/** Every kind of error that a caller or an operator can receive, with its HTTP status. */
public enum ErrorKind {
  /** The request is malformed: unreadable HTTP, invalid JSON, or an invalid or absent field. */
  BAD_REQUEST(400, RanStatus.NO, RetryAdvice.NEVER),
  /** The value of a request header is empty, malformed or out of range. */
  HEADER_OUT_OF_RANGE(400, RanStatus.NO, RetryAdvice.NEVER),
  /** A call that must run at most once has no idempotency key. */
  MISSING_IDEMPOTENCY_KEY(400, RanStatus.NO, RetryAdvice.NEVER),
  /** An operator record is invalid, or the change leaves a reference to a missing record. */
  INVALID_RECORD(400, RanStatus.NO, RetryAdvice.NEVER),
  /** The credentials are missing or wrong. */
  UNAUTHENTICATED(401, RanStatus.NO, RetryAdvice.NEVER),
  /** The path does not exist, its method is not allowed, or no gateway route matches. */
  NOT_FOUND(404, RanStatus.NO, RetryAdvice.NEVER),
  /** No model or adapter of the requested name is declared. */
  UNKNOWN_MODEL(404, RanStatus.NO, RetryAdvice.NEVER),
  /** No service of the requested name is declared, or it has no call for the path. */
  UNKNOWN_SERVICE(404, RanStatus.NO, RetryAdvice.NEVER),
  /** The record kind is unknown, or no operator record has that kind and name. */
  UNKNOWN_RECORD(404, RanStatus.NO, RetryAdvice.NEVER),
  /** The idempotency key was already used with a different request. */
  IDEMPOTENCY_CONFLICT(409, RanStatus.NO, RetryAdvice.NEVER),
  /** Another request with the same idempotency key is in progress. */
  CALL_IN_PROGRESS(409, RanStatus.UNKNOWN, RetryAdvice.SAME_KEY),
  /** The outcome of an earlier request with the same idempotency key is unknown. */
  OUTCOME_UNKNOWN(409, RanStatus.UNKNOWN, RetryAdvice.NEVER),
  /** The configuration is not at the expected revision, or other changes were committed first. */
  REVISION_CONFLICT(409, RanStatus.NO, RetryAdvice.LATER),
  /** A live node does not support the schema version of the record. */
  UNREADABLE_VERSION(409, RanStatus.NO, RetryAdvice.LATER),
  /** The request body exceeds the size limit. */
  BODY_TOO_LARGE(413, RanStatus.NO, RetryAdvice.NEVER),
  /** Backend servers crashed maxStrikes times while they ran the request or copies of it. */
  REPEATED_CRASH(422, RanStatus.UNKNOWN, RetryAdvice.NEVER),
  /** The queue of the model and class is full, or all servers exceed the latency target. */
  QUEUE_FULL(429, RanStatus.NO, RetryAdvice.LATER),
  /** The tenant has used up its allotment. */
  ALLOTMENT_EXHAUSTED(429, RanStatus.NO, RetryAdvice.LATER),
  /** The model or the response is not expected to be ready before the deadline. */
  DEADLINE_INFEASIBLE(503, RanStatus.NO, RetryAdvice.LATER),
  /** The request waited for a backend server until its deadline could not be met any more. */
  EXPIRED_IN_QUEUE(503, RanStatus.NO, RetryAdvice.LATER),
  /** No backend server can accept the request at present. */
  NO_BACKEND_SERVER(503, RanStatus.NO, RetryAdvice.LATER),
  /** All backend servers that could serve the request are at the limits that they name. */
  SERVERS_AT_LIMIT(503, RanStatus.NO, RetryAdvice.LATER),
  /** The bodies of other requests used up the memory of the node; this one was not received. */
  NO_BODY_MEMORY(503, RanStatus.NO, RetryAdvice.LATER),
  /** The request did not run: it was not sent, or the backend server refused it. */
  BACKEND_REFUSED(503, RanStatus.NO, RetryAdvice.LATER),
  /** Requests like this one crashed the backend servers that ran them; this one did not run. */
  CRASHES_SERVERS(503, RanStatus.NO, RetryAdvice.LATER),
  /** The version of the software that began the stream is unknown, and several are in use. */
  STREAM_ORIGIN_UNKNOWN(503, RanStatus.NO, RetryAdvice.LATER),
  /** The platform's table service did not confirm a claim, a record change or a read. */
  PLATFORM_UNAVAILABLE(503, RanStatus.NO, RetryAdvice.LATER),
  /** The node is not ready, has no configuration yet, or is shutting down. */
  NOT_READY(503, RanStatus.NO, RetryAdvice.LATER),
  /** The node cannot prove that no key of its configuration has been revoked. */
  REVOCATION_UNPROVEN(503, RanStatus.NO, RetryAdvice.LATER),
  /** The request may have run at a backend server, but no valid response was received. */
  BACKEND_LOST(502, RanStatus.UNKNOWN, RetryAdvice.SAME_KEY),
  /** The response of the backend server ended before it was complete. */
  INCOMPLETE_ANSWER(502, RanStatus.UNKNOWN, RetryAdvice.SAME_KEY),
  /** The deadline passed after the request was sent to a backend server. */
  DEADLINE_EXCEEDED(504, RanStatus.UNKNOWN, RetryAdvice.SAME_KEY),
  /** An internal error of the node. */
  INTERNAL(500, RanStatus.UNKNOWN, RetryAdvice.SAME_KEY);

  private final int httpStatus;
  private final RanStatus ran;
  private final RetryAdvice retryAdvice;

  ErrorKind(int httpStatus, RanStatus ran, RetryAdvice retryAdvice) {
    this.httpStatus = httpStatus;
    this.ran = ran;
    this.retryAdvice = retryAdvice;
  }

  /** Returns the status code of the HTTP response. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns whether the request may have run at a backend server. */
  public RanStatus ran() {
    return ran;
  }

  /** Returns whether and how the request may be retried. */
  public RetryAdvice retryAdvice() {
    return retryAdvice;
  }

  /** Returns the name in error responses, logs and metrics, such as {@code queue-full}. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
