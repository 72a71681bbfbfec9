package io.nutmegseam.core.pace;

/**
 * Least-squares fit of the time to the first event against the prompt tokens that a server
 * processes before it, over the servers of a service. Older measurements lose weight.
 */
final class ServicePace {
  /** Time after which a measurement has half its weight. */
  private static final double HALF_LIFE_MILLIS = 20_000;

  /** The fit is used from this total weight on; fewer measurements are dominated by noise. */
  private static final double MIN_WEIGHT = 4;

  /** The slope is fitted if the standard deviation of the tokens is this part of their mean. */
  private static final double MIN_SPREAD = 0.3;

  /** Part of the mean time that counts as base time if the tokens are too alike for a fit. */
  private static final double ASSUMED_BASE_SHARE = 0.5;

  private double weight;
  private double sumTokens;
  private double sumMillis;
  private double sumTokensSquared;
  private double sumProducts;
  private long updatedMillis;

  /** Adds a measurement. */
  void add(double tokens, double millis, long nowMillis) {
    double decay = decay(nowMillis);
    updatedMillis = nowMillis;
    weight = weight * decay + 1;
    sumTokens = sumTokens * decay + tokens;
    sumMillis = sumMillis * decay + millis;
    sumTokensSquared = sumTokensSquared * decay + tokens * tokens;
    sumProducts = sumProducts * decay + tokens * millis;
  }

  /** Returns whether there are enough recent measurements. */
  boolean isKnown(long nowMillis) {
    return weight * decay(nowMillis) >= MIN_WEIGHT;
  }

  /** Returns the time for each prompt token, in milliseconds. */
  double millisPerToken() {
    double meanTokens = sumTokens / weight;
    double meanMillis = sumMillis / weight;
    if (meanTokens <= 0) {
      return 0;
    }
    double variance = sumTokensSquared / weight - meanTokens * meanTokens;
    double largest = meanMillis / meanTokens;
    if (variance < MIN_SPREAD * MIN_SPREAD * meanTokens * meanTokens) {
      return largest * (1 - ASSUMED_BASE_SHARE);
    }
    double slope = (sumProducts / weight - meanTokens * meanMillis) / variance;
    return Math.min(Math.max(slope, 0), largest);
  }

  /** Returns the time to the first event of an empty prompt, in milliseconds. */
  double baseMillis() {
    return Math.max(0, (sumMillis - millisPerToken() * sumTokens) / weight);
  }

  private double decay(long nowMillis) {
    return Math.pow(0.5, Math.max(0, nowMillis - updatedMillis) / HALF_LIFE_MILLIS);
  }
}
