package io.nutmegseam.core.json;

import java.util.List;

/**
 * A field of an object schema.
 *
 * @param name key of the field
 * @param type expected type of the value
 * @param unit unit of the value, or "-" for none
 * @param required whether the key must be present
 * @param defaultValue value if the key is absent; null if the key is required
 * @param minimum minimum number, or minimum length of text in characters
 * @param maximum maximum number, or maximum length of text in characters
 * @param choices permitted texts; empty for any
 * @param itemSchema schema of the items of an array of objects; null for other types
 * @param description meaning of the field, for the documentation
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
    /** An integer. */
    INTEGER,
    /** Any number. */
    NUMBER,
    /** A boolean. */
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

  /** Returns an optional text field; an empty default means that the text is absent. */
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

  /** Returns an optional text field with a fixed set of values; the first is the default. */
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

  /** Returns a required integer field. */
  public static FieldSpec integer(
      String name, String unit, long minimum, long maximum, String description) {
    return new FieldSpec(
        name, Type.INTEGER, unit, true, null, minimum, maximum, List.of(), null, description);
  }

  /** Returns an optional integer field. */
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

  /** Returns an optional number field. */
  public static FieldSpec number(
      String name,
      String unit,
      double minimum,
      double maximum,
      double defaultValue,
      String description) {
    return new FieldSpec(
        name,
        Type.NUMBER,
        unit,
        false,
        defaultValue,
        minimum,
        maximum,
        List.of(),
        null,
        description);
  }

  /** Returns an optional boolean field. */
  public static FieldSpec flag(String name, boolean defaultValue, String description) {
    return new FieldSpec(
        name, Type.BOOLEAN, "-", false, defaultValue, 0, 0, List.of(), null, description);
  }

  /** Returns an optional field that is an array of text, empty by default. */
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

  /** Returns an optional field that is an array of objects, empty by default. */
  public static FieldSpec objects(String name, ObjectSchema itemSchema, String description) {
    return new FieldSpec(
        name, Type.OBJECTS, "-", false, List.of(), 0, 0, List.of(), itemSchema, description);
  }
}
