package io.nutmegseam.core.json;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The schema of a JSON object; validates a value and fills in defaults.
 *
 * @param fields the fields, in the order in which the documentation lists them
 */
public record ObjectSchema(List<FieldSpec> fields) {
  /** Returns a schema with the given fields. */
  public static ObjectSchema of(FieldSpec... fields) {
    return new ObjectSchema(List.of(fields));
  }

  /**
   * Validates a value and converts it to typed fields, with defaults for absent keys.
   *
   * @param value the value to validate
   * @param errors receives every error found
   * @return the typed fields; usable only if no error was added
   */
  public TypedObject validate(JsonValue value, List<ValidationError> errors) {
    Map<String, Object> typed = new LinkedHashMap<>();
    if (!value.isObject()) {
      errors.add(error(value, "expected an object but found " + value.typeName()));
      return new TypedObject(typed);
    }
    findUnknownKeys(value, errors);
    for (FieldSpec field : fields) {
      JsonValue actual = value.fields().get(field.name());
      if (actual != null) {
        typed.put(field.name(), read(field, actual, errors));
      } else if (field.required()) {
        errors.add(error(value, "missing key \"" + field.name() + "\""));
      } else {
        typed.put(field.name(), field.defaultValue());
      }
    }
    return new TypedObject(typed);
  }

  private void findUnknownKeys(JsonValue value, List<ValidationError> errors) {
    Set<String> knownKeys = fields.stream().map(FieldSpec::name).collect(Collectors.toSet());
    value
        .fields()
        .forEach(
            (key, actual) -> {
              if (!knownKeys.contains(key)) {
                errors.add(error(actual, "unknown key \"" + key + "\""));
              }
            });
  }

  private static Object read(FieldSpec field, JsonValue actual, List<ValidationError> errors) {
    return switch (field.type()) {
      case STRING -> readText(field, actual, errors);
      case INTEGER -> readNumber(field, actual, errors, actual.value() instanceof Long);
      case NUMBER -> readNumber(field, actual, errors, actual.value() instanceof Number);
      case BOOLEAN -> readFlag(field, actual, errors);
      case STRINGS -> readTexts(field, actual, errors);
      case OBJECTS -> readObjects(field, actual, errors);
    };
  }

  private static Object readText(FieldSpec field, JsonValue actual, List<ValidationError> errors) {
    if (!(actual.value() instanceof String text)) {
      return wrongType(field, actual, "a string", errors);
    }
    if (text.length() < field.minimum() || text.length() > field.maximum()) {
      errors.add(
          error(
              actual,
              "\"%s\" has %d characters, outside %.0f to %.0f"
                  .formatted(field.name(), text.length(), field.minimum(), field.maximum())));
    }
    if (!field.choices().isEmpty() && !field.choices().contains(text)) {
      errors.add(
          error(
              actual,
              "\"%s\" is \"%s\", not one of %s".formatted(field.name(), text, field.choices())));
    }
    return text;
  }

  private static Object readNumber(
      FieldSpec field, JsonValue actual, List<ValidationError> errors, boolean typeMatches) {
    if (!typeMatches) {
      String expectedType = field.type() == FieldSpec.Type.INTEGER ? "a whole number" : "a number";
      return wrongType(field, actual, expectedType, errors);
    }
    double number = ((Number) actual.value()).doubleValue();
    if (number < field.minimum() || number > field.maximum()) {
      errors.add(
          error(
              actual,
              "\"%s\" is %s, outside %s to %s"
                  .formatted(
                      field.name(),
                      actual.value(),
                      NumberFormatter.toPlainString(field.minimum()),
                      NumberFormatter.toPlainString(field.maximum()))));
    }
    return actual.value();
  }

  private static Object readFlag(FieldSpec field, JsonValue actual, List<ValidationError> errors) {
    return actual.value() instanceof Boolean flag
        ? flag
        : wrongType(field, actual, "true or false", errors);
  }

  private static Object readTexts(FieldSpec field, JsonValue actual, List<ValidationError> errors) {
    if (!actual.isArray()) {
      return wrongType(field, actual, "an array", errors);
    }
    List<Object> texts = new ArrayList<>();
    for (JsonValue item : actual.items()) {
      texts.add(readText(field, item, errors));
    }
    return texts;
  }

  private static Object readObjects(
      FieldSpec field, JsonValue actual, List<ValidationError> errors) {
    if (!actual.isArray()) {
      return wrongType(field, actual, "an array", errors);
    }
    List<Object> objects = new ArrayList<>();
    for (JsonValue item : actual.items()) {
      objects.add(field.itemSchema().validate(item, errors));
    }
    return objects;
  }

  private static Object wrongType(
      FieldSpec field, JsonValue actual, String expectedType, List<ValidationError> errors) {
    errors.add(
        error(
            actual,
            "\"%s\" must be %s but is %s"
                .formatted(field.name(), expectedType, actual.typeName())));
    return null;
  }

  private static ValidationError error(JsonValue value, String message) {
    return new ValidationError(value.line(), value.column(), message);
  }
}
