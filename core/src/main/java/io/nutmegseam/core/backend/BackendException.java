package io.nutmegseam.core.backend;

/** Thrown if a call to a backend server gets no usable response. */
public final class BackendException extends Exception {
  /** What is known about the outcome of a call. */
  public enum Outcome {
    /** The server was not reached; no byte of the call was sent. */
    NOT_SENT,
    /** The server confirmed that it did not run the call. */
    REFUSED,
    /** The server has seen a higher fencing number and did not run the order. */
    FENCED,
    /** The response belongs to another attempt. */
    CROSSED,
    /** The server may have run the call. */
    UNKNOWN,
    /** The connection broke after the call was sent; the server may have exited. */
    CONNECTION_LOST
  }

  private final Outcome outcome;

  /**
   * Creates the exception.
   *
   * @param outcome what is known about the outcome of the call
   * @param message what happened
   */
  public BackendException(Outcome outcome, String message) {
    super(message);
    this.outcome = outcome;
  }

  /** Returns what is known about the outcome of the call. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns whether the call certainly did not run. */
  public boolean provedNotRun() {
    return outcome == Outcome.NOT_SENT || outcome == Outcome.REFUSED || outcome == Outcome.FENCED;
  }
}
