package io.nutmegseam.core.routing;

import java.util.Optional;

/**
 * Size of a generation request.
 *
 * @param prompt number of prompt tokens
 * @param maxOutput maximum number of output tokens
 */
public record TokenCount(long prompt, long maxOutput) {
  /** Longer numbers are not token counts. */
  private static final int MAX_DIGITS = 10;

  /** Returns the prompt tokens and the maximum output tokens together. */
  public long total() {
    return prompt + maxOutput;
  }

  /**
   * Parses two numbers separated by a comma.
   *
   * @return the count, or empty if the text has another form
   */
  public static Optional<TokenCount> parse(String text) {
    int comma = text.indexOf(',');
    if (comma < 0) {
      return Optional.empty();
    }
    String prompt = text.substring(0, comma).trim();
    String maxOutput = text.substring(comma + 1).trim();
    return isNumber(prompt) && isNumber(maxOutput)
        ? Optional.of(new TokenCount(Long.parseLong(prompt), Long.parseLong(maxOutput)))
        : Optional.empty();
  }

  private static boolean isNumber(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_DIGITS
        && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }
}
