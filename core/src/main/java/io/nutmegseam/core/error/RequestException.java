package io.nutmegseam.core.error;

import static java.util.Objects.requireNonNull;

/** Thrown if a request of a caller or an operator is refused or fails. */
public final class RequestException extends Exception {
  private final ErrorKind kind;
  private final long retryAfterMillis;

  /**
   * Creates an exception without a retry time.
   *
   * @param kind the kind of error
   * @param message what happened, with the actual values
   */
  public RequestException(ErrorKind kind, String message) {
    this(kind, message, 0);
  }

  /**
   * Creates an exception.
   *
   * @param kind the kind of error
   * @param message what happened, with the actual values
   * @param retryAfterMillis time after which to retry, in milliseconds; 0 for unspecified
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

  /** Returns the time after which to retry, in milliseconds; 0 for unspecified. */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }
}
