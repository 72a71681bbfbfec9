package io.nutmegseam.core.json;

/**
 * One fault of a checked document.
 *
 * @param line line of the faulty value, from 1
 * @param column column of the faulty value, from 1
 * @param message what is wrong, with the actual value
 */
public record ValidationError(int line, int column, String message) {
  /**
   * Returns the form printed by the {@code check} command.
   *
   * @param file the name of the checked file
   */
  public String describe(String file) {
    return file + ":" + line + ":" + column + ": " + message;
  }
}
