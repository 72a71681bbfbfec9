package io.nutmegseam.core.error;

/** Whether a refused or failed request ran at a backend server. */
public enum RanStatus {
  /** No byte was sent to a backend server, or the server proved that the request did not run. */
  NO,
  /** The request may have run, partly or completely. */
  UNKNOWN;

  /** Returns the value of the {@code ran} field of error responses, such as {@code no}. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
