package io.nutmegseam.core.json;

import java.util.List;

/**
 * One field of an object schema.
 *
 * @param name the key
 * @param type the expected type
 * @param unit the unit, or "-" for none
 * @param required whether the key must be present
 * @param defaultValue value used when the key is absent; null when required
 * @param minimum smallest number, or shortest text in characters
 * @param maximum largest number, or longest text in characters
 * @param choices the allowed words; empty for any
 * @param itemSchema schema of an object or of the items of an array; null for plain items
 * @param description what the field does
 */
public record FieldSpec(
    String name,
    Type type,
    String unit,
    boolean required,
    Object defaultValue,
    double minimum,
    double maximum,
    List<String> choices,
    ObjectSchema itemSchema,
    String description) {
  private static final int MAX_TEXT_CHARACTERS = 256;

  /** The type of a field. */
  public enum Type {
    /** Text. */
    STRING,
    /** A whole number. */
    INTEGER,
    /** Any number. */
    NUMBER,
    /** True or false. */
    BOOLEAN,
    /** An array of text. */
    STRINGS,
    /** An array of objects. */
    OBJECTS
  }

  /** Returns a required text field. */
  public static FieldSpec text(String name, String description) {
    return new FieldSpec(
        name, Type.STRING, "-", true, null, 1, MAX_TEXT_CHARACTERS, List.of(), null, description);
  }

  /** Returns an optional text field; an empty default stands for absence. */
  public static FieldSpec optionalText(String name, String defaultValue, String description) {
    return new FieldSpec(
        name,
        Type.STRING,
        "-",
        false,
        defaultValue,
        0,
        MAX_TEXT_CHARACTERS,
        List.of(),
        null,
        description);
  }

  /** Returns an optional field that holds one of several words; the first is the default. */
  public static FieldSpec choice(String name, List<String> choices, String description) {
    return new FieldSpec(
        name,
        Type.STRING,
        "-",
        false,
        choices.get(0),
        1,
        MAX_TEXT_CHARACTERS,
        choices,
        null,
        description);
  }

  /** Returns a required whole number. */
  public static FieldSpec integer(
      String name, String unit, long minimum, long maximum, String description) {
    return new FieldSpec(
        name, Type.INTEGER, unit, true, null, minimum, maximum, List.of(), null, description);
  }

  /** Returns an optional whole number. */
  public static FieldSpec integer(
      String name, String unit, long minimum, long maximum, long defaultValue, String description) {
    return new FieldSpec(
        name,
        Type.INTEGER,
        unit,
        false,
        defaultValue,
        minimum,
        maximum,
        List.of(),
        null,
        description);
  }

  /** Returns an optional number. */
  public static FieldSpec number(
      String name, String unit, double minimum, double maximum, double value, String description) {
    return new FieldSpec(
        name, Type.NUMBER, unit, false, value, minimum, maximum, List.of(), null, description);
  }

  /** Returns an optional flag. */
  public static FieldSpec flag(String name, boolean defaultValue, String description) {
    return new FieldSpec(
        name, Type.BOOLEAN, "-", false, defaultValue, 0, 0, List.of(), null, description);
  }

  /** Returns an optional array of text, empty by default. */
  public static FieldSpec texts(String name, String description) {
    return new FieldSpec(
        name,
        Type.STRINGS,
        "-",
        false,
        List.of(),
        1,
        MAX_TEXT_CHARACTERS,
        List.of(),
        null,
        description);
  }

  /** Returns an optional array of objects, empty by default. */
  public static FieldSpec objects(String name, ObjectSchema item, String description) {
    return new FieldSpec(
        name, Type.OBJECTS, "-", false, List.of(), 0, 0, List.of(), item, description);
  }
}
