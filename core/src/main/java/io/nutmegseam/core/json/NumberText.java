package io.nutmegseam.core.json;

/** Prints numbers without an exponent or a needless fraction. */
final class NumberText {
  private NumberText() {}

  static String plain(double number) {
    return java.math.BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }
}
