package io.nutmegseam.node.http;

/**
 * What counts as the status of a response, for every HTTP client of a node. Anything else means
 * that there is no response; the request may have run.
 */
public final class ResponseStatus {
  private static final int LENGTH = 3;
  private static final int MIN = 100;
  private static final int MIN_FINAL = 200;
  private static final int MAX = 599;

  private ResponseStatus() {}

  /** Returns whether the text of a status line is a status: three digits, from 100 to 599. */
  public static boolean isStatus(String text) {
    return text.length() == LENGTH
        && text.chars().allMatch(digit -> digit >= '0' && digit <= '9')
        && isInRange(Integer.parseInt(text), MIN);
  }

  /** Returns whether a number is the status of a final response. */
  public static boolean isFinal(int status) {
    return isInRange(status, MIN_FINAL);
  }

  private static boolean isInRange(int status, int min) {
    return status >= min && status <= MAX;
  }
}
