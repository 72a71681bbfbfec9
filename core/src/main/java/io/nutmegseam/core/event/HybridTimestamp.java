package io.nutmegseam.core.event;

/**
 * A timestamp of a hybrid logical clock.
 *
 * @param wallMillis wall-clock part, in milliseconds since the epoch
 * @param logical counter that orders events of the same millisecond
 */
public record HybridTimestamp(long wallMillis, int logical) implements Comparable<HybridTimestamp> {
  private static final char SEPARATOR = '.';

  @Override
  public int compareTo(HybridTimestamp other) {
    int byWall = Long.compare(wallMillis, other.wallMillis);
    return byWall != 0 ? byWall : Integer.compare(logical, other.logical);
  }

  /** Returns the form carried in headers, such as {@code 1700000000000.3}. */
  public String encode() {
    return wallMillis + "" + SEPARATOR + logical;
  }

  /**
   * Parses the form carried in headers.
   *
   * @param text the encoded timestamp; may be null
   * @return the timestamp, or empty if the text is not one
   */
  public static java.util.Optional<HybridTimestamp> decode(String text) {
    if (text == null || text.indexOf(SEPARATOR) < 0) {
      return java.util.Optional.empty();
    }
    int at = text.indexOf(SEPARATOR);
    try {
      long wallMillis = Long.parseLong(text.substring(0, at));
      int logical = Integer.parseInt(text.substring(at + 1));
      return java.util.Optional.of(new HybridTimestamp(wallMillis, logical));
    } catch (NumberFormatException e) {
      return java.util.Optional.empty();
    }
  }
}
