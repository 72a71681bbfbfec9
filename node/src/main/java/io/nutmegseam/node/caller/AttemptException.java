package io.nutmegseam.node.caller;

import io.nutmegseam.core.backend.BackendException;

/** Thrown when one attempt to run a request at a backend server fails. */
public final class AttemptException extends Exception {
  private final BackendException reason;
  private final int receivedTokens;

  /**
   * Creates the exception.
   *
   * @param reason the failure, with what is known about the attempt
   * @param receivedTokens number of tokens received before the failure
   */
  public AttemptException(BackendException reason, int receivedTokens) {
    super(reason.getMessage(), reason);
    this.reason = reason;
    this.receivedTokens = receivedTokens;
  }

  /** Returns the failure, with what is known about the attempt. */
  public BackendException reason() {
    return reason;
  }

  /** Returns the number of tokens received before the failure. */
  public int receivedTokens() {
    return receivedTokens;
  }
}
