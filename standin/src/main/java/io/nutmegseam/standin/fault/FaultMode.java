package io.nutmegseam.standin.fault;

/** What goes wrong. */
public enum FaultMode {
  /** Wait before the effect. */
  SLOW,
  /** Answer late, after the effect. */
  LATE,
  /** Answer 503 without the effect. */
  REFUSE,
  /** Break the connection without the effect. */
  DROP,
  /** Break the connection after the effect. */
  LOSE_ANSWER,
  /** Break the connection in the middle of the answer. */
  CUT,
  /** Give the answer of another request. */
  CROSS,
  /** Send the answer's parts twice. */
  DUPLICATE,
  /** Lose all state and break all connections. */
  CRASH
}
