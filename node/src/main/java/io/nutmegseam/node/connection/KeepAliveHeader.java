package io.nutmegseam.node.connection;

/** Reads the Keep-Alive header of responses. */
final class KeepAliveHeader {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int MAX_TIMEOUT_DIGITS = 9;
  private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

  private KeepAliveHeader() {}

  /** Returns how long the server keeps an idle connection open, in milliseconds. */
  static long idleLimitMillis(String keepAliveHeader) {
    int index = keepAliveHeader.indexOf(KEEP_ALIVE_TIMEOUT);
    if (index < 0) {
      return Long.MAX_VALUE;
    }
    int start = index + KEEP_ALIVE_TIMEOUT.length();
    int end = start;
    while (end < keepAliveHeader.length() && Character.isDigit(keepAliveHeader.charAt(end))) {
      end++;
    }
    boolean valid = end > start && end - start <= MAX_TIMEOUT_DIGITS;
    // An unreadable timeout counts as 0, so that the connection is not reused.
    return valid ? Long.parseLong(keepAliveHeader.substring(start, end)) * MILLIS_PER_SECOND : 0;
  }
}
