package io.nutmegseam.core.json;

/** Formats numbers without an exponent and without trailing zeros. */
final class NumberFormatter {
  private NumberFormatter() {}

  static String toPlainString(double number) {
    return java.math.BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
  }
}
