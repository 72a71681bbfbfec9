package io.nutmegseam.core.quota;

import java.util.Locale;

/**
 * Limits that a server names, for all nodes together.
 *
 * @param requestsPerSecond requests that the server accepts per second; infinite without a limit
 * @param rejectionsPerSecond requests that the server can reject within a second for want of room
 *     without falling over; infinite without a limit
 */
public record ServerLimits(double requestsPerSecond, double rejectionsPerSecond) {
  /** The limits of a server that names none. */
  public static final ServerLimits NONE =
      new ServerLimits(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

  /**
   * Creates limits.
   *
   * @throws IllegalArgumentException if a limit is negative or not a number
   */
  public ServerLimits {
    checkNotNegative(requestsPerSecond, "requests");
    checkNotNegative(rejectionsPerSecond, "rejections");
  }

  /**
   * Creates a limit of requests.
   *
   * @throws IllegalArgumentException if the limit is negative or not a number
   */
  public ServerLimits(double requestsPerSecond) {
    this(requestsPerSecond, Double.POSITIVE_INFINITY);
  }

  private static void checkNotNegative(double perSecond, String what) {
    if (!(perSecond >= 0)) {
      throw new IllegalArgumentException(
          "a limit of " + perSecond + " " + what + " per second is not 0 or more");
    }
  }

  /** Returns whether the server limits the rate of requests. */
  public boolean isRateLimited() {
    return Double.isFinite(requestsPerSecond);
  }

  /** Returns whether the server falls over if it has to reject too many requests. */
  public boolean isBrittle() {
    return Double.isFinite(rejectionsPerSecond);
  }

  /** Returns whether the server names no limit. */
  public boolean isNone() {
    return equals(NONE);
  }

  /** Returns whether a limit differs from another one by more than a share of the larger one. */
  boolean differsFrom(ServerLimits other, double share) {
    return differ(requestsPerSecond, other.requestsPerSecond, share)
        || differ(rejectionsPerSecond, other.rejectionsPerSecond, share);
  }

  private static boolean differ(double one, double other, double share) {
    if (Double.isInfinite(one) || Double.isInfinite(other)) {
      return one != other;
    }
    return Math.abs(one - other) > share * Math.max(one, other);
  }

  @Override
  public String toString() {
    if (isNone()) {
      return "no limit";
    }
    String requests = text(requestsPerSecond, "requests");
    String rejections = text(rejectionsPerSecond, "rejections");
    return requests + (requests.isEmpty() || rejections.isEmpty() ? "" : ", ") + rejections;
  }

  private static String text(double perSecond, String what) {
    return Double.isInfinite(perSecond)
        ? ""
        : String.format(Locale.ROOT, "%.2f %s per second", perSecond, what);
  }
}
