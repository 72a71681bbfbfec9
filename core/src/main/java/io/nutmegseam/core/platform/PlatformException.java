package io.nutmegseam.core.platform;

/** Thrown if a service of the platform gave no valid response. */
public final class PlatformException extends Exception {
  private final boolean mayHaveApplied;

  /**
   * Creates the exception.
   *
   * @param message what happened, with the actual values
   * @param mayHaveApplied whether a write may have taken effect despite the error
   */
  public PlatformException(String message, boolean mayHaveApplied) {
    super(message);
    this.mayHaveApplied = mayHaveApplied;
  }

  /** Returns whether a write may have taken effect despite the error. */
  public boolean mayHaveApplied() {
    return mayHaveApplied;
  }
}
