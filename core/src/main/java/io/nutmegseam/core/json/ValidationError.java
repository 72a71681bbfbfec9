package io.nutmegseam.core.json;

/**
 * An error found while a document is parsed or validated.
 *
 * @param line line of the invalid value, from 1
 * @param column column of the invalid value, from 1
 * @param message what is wrong, with the actual value
 */
public record ValidationError(int line, int column, String message) {
  /**
   * Returns the error as one line, {@code file:line:column: message}.
   *
   * @param file name of the document's file
   */
  public String describe(String file) {
    return file + ":" + line + ":" + column + ": " + message;
  }
}
