package io.nutmegseam.standin.fault;

/** Specifies how a fault changes the processing of a call. */
public enum FaultMode {
  /** Delays the call before it runs. */
  SLOW,
  /** Runs the call, then delays the response. Has no effect on completions. */
  LATE,
  /** Responds with 503 without running the call. */
  REFUSE,
  /** Closes the connection without running the call. */
  DROP,
  /** Runs the call, then closes the connection without a response. Has no effect on completions. */
  LOSE_ANSWER,
  /** Closes the connection in the middle of the response. */
  CUT,
  /**
   * Responds to a completion with the attempt id of another request. Other calls are treated as
   * with {@link #LOSE_ANSWER}.
   */
  CROSS,
  /**
   * Sends each event of a completion twice. Other calls are treated as with {@link #LOSE_ANSWER}.
   */
  DUPLICATE,
  /**
   * Crashes the engine while it runs a completion: the engine loses its state and all connections.
   * Other calls are treated as with {@link #DROP}.
   */
  CRASH
}
