package io.nutmegseam.core.gateway;

/** The kind of the requests of a route, which determines whether they may be retried. */
public enum RequestKind {
  /** The request may run more than once. */
  IDEMPOTENT,
  /** The request must run at most once. */
  NON_IDEMPOTENT,
  /** The response is an event stream; the request must run at most once unless it is resumable. */
  STREAMING
}
