package io.nutmegseam.core.json;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The fields of an object; finds every fault of a value and fills in defaults.
 *
 * @param fields the fields, in the order of the documentation
 */
public record ObjectSchema(List<FieldSpec> fields) {
  /** Creates a schema from its fields. */
  public static ObjectSchema of(FieldSpec... fields) {
    return new ObjectSchema(List.of(fields));
  }

  /**
   * Checks a value and reads it with defaults filled in.
   *
   * @param value the value to check
   * @param faults receives every fault found
   * @return the typed fields; meaningful only if no fault was added
   */
  public TypedObject validate(JsonValue value, List<ValidationError> faults) {
    Map<String, Object> typed = new LinkedHashMap<>();
    if (!value.isObject()) {
      faults.add(fault(value, "expected an object but found " + value.typeName()));
      return new TypedObject(typed);
    }
    findUnknownKeys(value, faults);
    for (FieldSpec field : fields) {
      JsonValue given = value.fields().get(field.name());
      if (given != null) {
        typed.put(field.name(), read(field, given, faults));
      } else if (field.required()) {
        faults.add(fault(value, "missing key \"" + field.name() + "\""));
      } else {
        typed.put(field.name(), field.defaultValue());
      }
    }
    return new TypedObject(typed);
  }

  private void findUnknownKeys(JsonValue value, List<ValidationError> faults) {
    Set<String> known = fields.stream().map(FieldSpec::name).collect(Collectors.toSet());
    value
        .fields()
        .forEach(
            (key, given) -> {
              if (!known.contains(key)) {
                faults.add(fault(given, "unknown key \"" + key + "\""));
              }
            });
  }

  private static Object read(FieldSpec field, JsonValue given, List<ValidationError> faults) {
    return switch (field.type()) {
      case STRING -> readText(field, given, faults);
      case INTEGER -> readNumber(field, given, faults, given.value() instanceof Long);
      case NUMBER -> readNumber(field, given, faults, given.value() instanceof Number);
      case BOOLEAN -> readFlag(field, given, faults);
      case STRINGS -> readTexts(field, given, faults);
      case OBJECTS -> readObjects(field, given, faults);
    };
  }

  private static Object readText(FieldSpec field, JsonValue given, List<ValidationError> faults) {
    if (!(given.value() instanceof String text)) {
      return wrongType(field, given, "a string", faults);
    }
    if (text.length() < field.minimum() || text.length() > field.maximum()) {
      faults.add(
          fault(
              given,
              "\"%s\" has %d characters, outside %.0f to %.0f"
                  .formatted(field.name(), text.length(), field.minimum(), field.maximum())));
    }
    if (!field.choices().isEmpty() && !field.choices().contains(text)) {
      faults.add(
          fault(
              given,
              "\"%s\" is \"%s\", not one of %s".formatted(field.name(), text, field.choices())));
    }
    return text;
  }

  private static Object readNumber(
      FieldSpec field, JsonValue given, List<ValidationError> faults, boolean typeMatches) {
    if (!typeMatches) {
      String wanted = field.type() == FieldSpec.Type.INTEGER ? "a whole number" : "a number";
      return wrongType(field, given, wanted, faults);
    }
    double number = ((Number) given.value()).doubleValue();
    if (number < field.minimum() || number > field.maximum()) {
      faults.add(
          fault(
              given,
              "\"%s\" is %s, outside %s to %s"
                  .formatted(
                      field.name(),
                      given.value(),
                      NumberFormatter.toPlainString(field.minimum()),
                      NumberFormatter.toPlainString(field.maximum()))));
    }
    return given.value();
  }

  private static Object readFlag(FieldSpec field, JsonValue given, List<ValidationError> faults) {
    return given.value() instanceof Boolean flag
        ? flag
        : wrongType(field, given, "true or false", faults);
  }

  private static Object readTexts(FieldSpec field, JsonValue given, List<ValidationError> faults) {
    if (!given.isArray()) {
      return wrongType(field, given, "an array", faults);
    }
    List<Object> texts = new ArrayList<>();
    for (JsonValue item : given.items()) {
      texts.add(readText(field, item, faults));
    }
    return texts;
  }

  private static Object readObjects(
      FieldSpec field, JsonValue given, List<ValidationError> faults) {
    if (!given.isArray()) {
      return wrongType(field, given, "an array", faults);
    }
    List<Object> objects = new ArrayList<>();
    for (JsonValue item : given.items()) {
      objects.add(field.itemSchema().validate(item, faults));
    }
    return objects;
  }

  private static Object wrongType(
      FieldSpec field, JsonValue given, String wanted, List<ValidationError> faults) {
    faults.add(
        fault(
            given,
            "\"%s\" must be %s but is %s".formatted(field.name(), wanted, given.typeName())));
    return null;
  }

  private static ValidationError fault(JsonValue at, String message) {
    return new ValidationError(at.line(), at.column(), message);
  }
}
