package io.nutmegseam.core.error;

/** Whether a refused or failed request ran at a backend server. */
public enum RanStatus {
  /** No byte of the request left for a backend server, or the server proved that it did not run. */
  NO,
  /** The request may have run, in part or in whole. */
  UNKNOWN;

  /** Returns the word used in answers, such as {@code no}. */
  public String wireName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
