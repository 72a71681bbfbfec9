package io.nutmegseam.core.pace;

/**
 * Measured ratios of a server to its service.
 *
 * @param logSum sum of their natural logarithms
 * @param count number of measurements
 */
public record RatioSum(double logSum, int count) {
  /** Returns both sums together. */
  public RatioSum plus(RatioSum other) {
    return new RatioSum(logSum + other.logSum, count + other.count);
  }
}
