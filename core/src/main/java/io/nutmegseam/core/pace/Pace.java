package io.nutmegseam.core.pace;

/**
 * Speed of a server at a time.
 *
 * @param baseMillis time to the first event of an empty prompt, in milliseconds
 * @param millisPerToken time for each prompt token, in milliseconds
 * @param ratio learnt ratio of the server's times to those of its service; included in the times
 * @param factor factor that the server reported; included in the times
 */
public record Pace(double baseMillis, double millisPerToken, double ratio, double factor) {
  /** Returns the time to the first event after a number of prompt tokens, in milliseconds. */
  public double millis(double tokens) {
    return baseMillis + millisPerToken * tokens;
  }
}
