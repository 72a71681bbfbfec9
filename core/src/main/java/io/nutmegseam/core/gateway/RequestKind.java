package io.nutmegseam.core.gateway;

/** What may be repeated of a request on a route. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** May run once at most. */
  NON_IDEMPOTENT,
  /** Answered by a series of events; may run once at most unless it can be resumed. */
  STREAMING
}
