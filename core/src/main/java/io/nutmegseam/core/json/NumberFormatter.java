package io.nutmegseam.core.json;

/** Prints numbers without an exponent or a needless fraction. */
final class NumberFormatter {
  private NumberFormatter() {}

  static String toPlainString(double number) {
    return java.math.BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }
}
