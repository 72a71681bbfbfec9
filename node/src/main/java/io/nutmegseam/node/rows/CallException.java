package io.nutmegseam.node.rows;

/** Indicates that a call got no usable response. */
public final class CallException extends Exception {
  private final boolean mayHaveRun;

  /**
   * Creates the exception.
   *
   * @param message what happened
   * @param mayHaveRun whether the call may have taken effect nevertheless
   */
  public CallException(String message, boolean mayHaveRun) {
    super(message);
    this.mayHaveRun = mayHaveRun;
  }

  /** Returns whether the call may have taken effect nevertheless. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }
}
