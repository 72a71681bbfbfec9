package io.nutmegseam.node.caller;

import io.nutmegseam.core.backend.BackendException;

/** One attempt at a backend server failed. */
public final class AttemptException extends Exception {
  private final BackendException reason;
  private final int receivedTokens;

  /**
   * Creates the exception.
   *
   * @param reason what is known about the attempt
   * @param receivedTokens tokens that came before the failure
   */
  public AttemptException(BackendException reason, int receivedTokens) {
    super(reason.getMessage(), reason);
    this.reason = reason;
    this.receivedTokens = receivedTokens;
  }

  /** Returns what is known about the attempt. */
  public BackendException reason() {
    return reason;
  }

  /** Returns the tokens that came before the failure. */
  public int receivedTokens() {
    return receivedTokens;
  }
}
