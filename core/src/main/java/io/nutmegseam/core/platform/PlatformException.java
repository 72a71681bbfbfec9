package io.nutmegseam.core.platform;

/** The table service gave no usable answer. */
public final class PlatformException extends Exception {
  private final boolean mayHaveApplied;

  /**
   * Creates the exception.
   *
   * @param message what happened
   * @param mayHaveApplied whether a write may have taken effect all the same
   */
  public PlatformException(String message, boolean mayHaveApplied) {
    super(message);
    this.mayHaveApplied = mayHaveApplied;
  }

  /** Returns whether a write may have taken effect all the same. */
  public boolean mayHaveApplied() {
    return mayHaveApplied;
  }
}
