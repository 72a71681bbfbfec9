package io.nutmegseam.core.backend;

/** A backend server gave no usable answer to a call. */
public final class BackendException extends Exception {
  /** What is known about the call. */
  public enum Outcome {
    /** No byte left for the server. */
    NOT_SENT,
    /** The server proved that it did not run the call. */
    REFUSED,
    /** The server saw a higher fencing number and did not run the order. */
    FENCED,
    /** The answer belongs to another attempt. */
    CROSSED,
    /** The server may have run the call. */
    UNKNOWN,
    /** The connection broke after the call was sent; the server may be gone. */
    CONNECTION_LOST
  }

  private final Outcome outcome;

  /**
   * Creates the exception.
   *
   * @param outcome what is known about the call
   * @param message what happened
   */
  public BackendException(Outcome outcome, String message) {
    super(message);
    this.outcome = outcome;
  }

  /** Returns what is known about the call. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns whether the call certainly did not run. */
  public boolean provedNotRun() {
    return outcome == Outcome.NOT_SENT || outcome == Outcome.REFUSED || outcome == Outcome.FENCED;
  }
}
