package io.nutmegseam.core.error;

import static java.util.Objects.requireNonNull;

/** A request or an operator call that ends with an error of the closed list. */
public final class RequestException extends Exception {
  private final ErrorKind kind;
  private final long retryAfterMillis;

  /**
   * Creates an error without a time to come back.
   *
   * @param kind the kind of error
   * @param message what happened, with the actual values
   */
  public RequestException(ErrorKind kind, String message) {
    this(kind, message, 0);
  }

  /**
   * Creates an error.
   *
   * @param kind the kind of error
   * @param message what happened, with the actual values
   * @param retryAfterMillis when to come back, in milliseconds from now; 0 for unstated
   */
  public RequestException(ErrorKind kind, String message, long retryAfterMillis) {
    super(requireNonNull(message, "message"));
    this.kind = requireNonNull(kind, "kind");
    this.retryAfterMillis = retryAfterMillis;
  }

  /** Returns the kind of error. */
  public ErrorKind kind() {
    return kind;
  }

  /** Returns when to come back in milliseconds from now, or 0 if unstated. */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }
}
