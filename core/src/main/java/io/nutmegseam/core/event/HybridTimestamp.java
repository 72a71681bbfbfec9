package io.nutmegseam.core.event;

/**
 * A timestamp of a hybrid logical clock.
 *
 * @param wallMillis wall-clock part, in milliseconds since the epoch
 * @param logical counter that orders events with the same wall-clock part
 */
public record HybridTimestamp(long wallMillis, int logical) implements Comparable<HybridTimestamp> {
  private static final char SEPARATOR = '.';

  @Override
  public int compareTo(HybridTimestamp other) {
    int byWall = Long.compare(wallMillis, other.wallMillis);
    return byWall != 0 ? byWall : Integer.compare(logical, other.logical);
  }

  /** Returns the text form, such as {@code 1700000000000.3}. */
  public String encode() {
    return wallMillis + "" + SEPARATOR + logical;
  }

  /**
   * Parses the text form.
   *
   * @param text the encoded timestamp; may be null
   * @return the timestamp, or empty if the text is not a valid timestamp
   */
  public static java.util.Optional<HybridTimestamp> decode(String text) {
    if (text == null || text.indexOf(SEPARATOR) < 0) {
      return java.util.Optional.empty();
    }
    int separator = text.indexOf(SEPARATOR);
    try {
      long wallMillis = Long.parseLong(text.substring(0, separator));
      int logical = Integer.parseInt(text.substring(separator + 1));
      return java.util.Optional.of(new HybridTimestamp(wallMillis, logical));
    } catch (NumberFormatException e) {
      return java.util.Optional.empty();
    }
  }
}
