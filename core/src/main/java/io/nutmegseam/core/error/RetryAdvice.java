package io.nutmegseam.core.error;

/** What a caller may do after an error. */
public enum RetryAdvice {
  /** The same request fails again. */
  NEVER,
  /** The same request may succeed after the time given in {@code Retry-After}. */
  LATER,
  /** A repeat is safe only with the same idempotency key. */
  SAME_KEY;

  /** Returns the word used in answers, such as {@code same-key}. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }
}
