package io.nutmegseam.core.error;

/** Whether and how a caller may retry a request after an error. */
public enum RetryAdvice {
  /** The same request would fail again. */
  NEVER,
  /** The same request may succeed after the time in the {@code Retry-After} header. */
  LATER,
  /** A retry is safe only with the same idempotency key. */
  SAME_KEY;

  /** Returns the value of the {@code retry} field of error responses, such as {@code same-key}. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
