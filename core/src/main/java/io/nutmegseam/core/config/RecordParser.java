package io.nutmegseam.core.config;

import io.nutmegseam.core.json.JsonReader;
import io.nutmegseam.core.json.JsonValue;
import io.nutmegseam.core.json.ObjectSchema;
import io.nutmegseam.core.json.TypedObject;
import io.nutmegseam.core.json.ValidationError;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Parses operator records of every supported schema version into the newest version. */
public final class RecordParser {
  private RecordParser() {}

  /**
   * Parses a file that contains one record or an array of records.
   *
   * @param text text of the file: JSON with comments
   * @param errors receives every error found
   * @return the parsed records; complete only if no error was added
   */
  public static List<ParsedRecord> parse(String text, List<ValidationError> errors) {
    Optional<JsonValue> document = JsonReader.read(text, errors);
    if (document.isEmpty()) {
      return List.of();
    }
    JsonValue root = document.get();
    List<JsonValue> values = root.isArray() ? root.items() : List.of(root);
    List<ParsedRecord> records = new ArrayList<>();
    for (JsonValue value : values) {
      parseRecord(value, errors).ifPresent(r -> records.add(toParsedRecord(r, value)));
    }
    return records;
  }

  /**
   * Parses a stored record.
   *
   * @param text the stored record as JSON
   * @return the record, or empty if this program version cannot parse it
   */
  public static Optional<OperatorRecord> parseStored(String text) {
    List<ValidationError> errors = new ArrayList<>();
    List<ParsedRecord> records = parse(text, errors);
    return errors.isEmpty() && records.size() == 1
        ? Optional.of(records.get(0).record())
        : Optional.empty();
  }

  private static ParsedRecord toParsedRecord(OperatorRecord record, JsonValue value) {
    int version = ((Long) value.fields().get("schemaVersion").value()).intValue();
    return new ParsedRecord(record, value.line(), value.column(), value.toJson(), version);
  }

  private static Optional<OperatorRecord> parseRecord(
      JsonValue value, List<ValidationError> errors) {
    if (!value.isObject()) {
      errors.add(error(value, "expected a record but found " + value.typeName()));
      return Optional.empty();
    }
    Optional<RecordKind> kind = readKind(value, errors);
    Optional<Integer> version = readVersion(value, errors);
    if (kind.isEmpty() || version.isEmpty()) {
      return Optional.empty();
    }
    int errorsBefore = errors.size();
    TypedObject typed = RecordSchemas.schema(kind.get(), version.get()).validate(value, errors);
    if (errors.size() > errorsBefore) {
      return Optional.empty();
    }
    TypedObject newest =
        version.get() == 1
            ? RecordUpgrader.upgradeFromVersion1(kind.get(), typed, defaults(kind.get()))
            : typed;
    return buildRecord(kind.get(), newest, value, errors);
  }

  private static Optional<OperatorRecord> buildRecord(
      RecordKind kind, TypedObject newest, JsonValue value, List<ValidationError> errors) {
    if (kind == RecordKind.POLICY && !newest.text("name").equals(PolicyRecord.NAME)) {
      errors.add(error(value, "a Policy must be named \"" + PolicyRecord.NAME + "\""));
      return Optional.empty();
    }
    return Optional.of(RecordBuilder.build(kind, newest));
  }

  /** Returns the default values of a record kind in the newest schema version. */
  static TypedObject defaults(RecordKind kind) {
    ObjectSchema schema = RecordSchemas.schema(kind, RecordSchemas.NEWEST_VERSION);
    Map<String, JsonValue> noFields = new LinkedHashMap<>();
    return schema.validate(new JsonValue(noFields, 1, 1), new ArrayList<>());
  }

  private static Optional<RecordKind> readKind(JsonValue value, List<ValidationError> errors) {
    JsonValue field = value.fields().get("kind");
    if (field == null) {
      errors.add(error(value, "missing key \"kind\""));
      return Optional.empty();
    }
    Optional<RecordKind> kind = RecordKind.fromWireName(String.valueOf(field.value()));
    if (kind.isEmpty()) {
      errors.add(error(field, "unknown kind \"" + field.value() + "\""));
    }
    return kind;
  }

  private static Optional<Integer> readVersion(JsonValue value, List<ValidationError> errors) {
    JsonValue field = value.fields().get("schemaVersion");
    if (field == null) {
      errors.add(error(value, "missing key \"schemaVersion\""));
      return Optional.empty();
    }
    boolean supported =
        field.value() instanceof Long number
            && number >= RecordSchemas.OLDEST_VERSION
            && number <= RecordSchemas.NEWEST_VERSION;
    if (!supported) {
      errors.add(
          error(
              field,
              "unsupported schemaVersion %s; this program version supports %d to %d"
                  .formatted(
                      field.value(), RecordSchemas.OLDEST_VERSION, RecordSchemas.NEWEST_VERSION)));
      return Optional.empty();
    }
    return Optional.of(((Long) field.value()).intValue());
  }

  private static ValidationError error(JsonValue value, String message) {
    return new ValidationError(value.line(), value.column(), message);
  }
}
