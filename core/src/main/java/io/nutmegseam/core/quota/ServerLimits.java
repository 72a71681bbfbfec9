package io.nutmegseam.core.quota;

import java.util.Locale;

/**
 * Limits that a server names, for all nodes together.
 *
 * @param requestsPerSecond requests that the server accepts per second; infinite without a limit
 */
public record ServerLimits(double requestsPerSecond) {
  /** The limits of a server that names none. */
  public static final ServerLimits NONE = new ServerLimits(Double.POSITIVE_INFINITY);

  /**
   * Creates limits.
   *
   * @throws IllegalArgumentException if a limit is negative or not a number
   */
  public ServerLimits {
    if (!(requestsPerSecond >= 0)) {
      throw new IllegalArgumentException(
          "a limit of " + requestsPerSecond + " requests per second is not 0 or more");
    }
  }

  /** Returns whether the server names no limit. */
  public boolean isNone() {
    return equals(NONE);
  }

  /** Returns whether a limit differs from another one by more than a share of the larger one. */
  boolean differsFrom(ServerLimits other, double share) {
    if (isNone() || other.isNone()) {
      return isNone() != other.isNone();
    }
    double larger = Math.max(requestsPerSecond, other.requestsPerSecond);
    return Math.abs(requestsPerSecond - other.requestsPerSecond) > share * larger;
  }

  @Override
  public String toString() {
    return isNone()
        ? "no limit"
        : String.format(Locale.ROOT, "%.2f requests per second", requestsPerSecond);
  }
}
