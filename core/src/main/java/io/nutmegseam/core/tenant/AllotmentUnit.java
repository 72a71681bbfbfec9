package io.nutmegseam.core.tenant;

/** What an allotment counts. */
public enum AllotmentUnit {
  /** Each request costs 1. */
  REQUESTS,
  /** Each request costs its prompt tokens and its maximum output tokens. */
  TOKENS
}
