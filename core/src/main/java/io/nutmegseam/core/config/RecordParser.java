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

/** Reads operator records of every supported schema version into their newest form. */
public final class RecordParser {
  private RecordParser() {}

  /**
   * Reads a file that holds one record or an array of records.
   *
   * @param text the file's text, JSON with comments
   * @param faults receives every fault found
   * @return the located records; complete only if no fault was added
   */
  public static List<ParsedRecord> parse(String text, List<ValidationError> faults) {
    Optional<JsonValue> document = JsonReader.read(text, faults);
    if (document.isEmpty()) {
      return List.of();
    }
    JsonValue root = document.get();
    List<JsonValue> values = root.isArray() ? root.items() : List.of(root);
    List<ParsedRecord> records = new ArrayList<>();
    for (JsonValue value : values) {
      parseOne(value, faults).ifPresent(r -> records.add(located(r, value)));
    }
    return records;
  }

  /**
   * Reads one stored record.
   *
   * @param text the record as stored
   * @return the record, or empty if this version of the system cannot read it
   */
  public static Optional<OperatorRecord> parseStored(String text) {
    List<ValidationError> faults = new ArrayList<>();
    List<ParsedRecord> records = parse(text, faults);
    return faults.isEmpty() && records.size() == 1
        ? Optional.of(records.get(0).record())
        : Optional.empty();
  }

  private static ParsedRecord located(OperatorRecord record, JsonValue value) {
    int version = ((Long) value.fields().get("schemaVersion").value()).intValue();
    return new ParsedRecord(record, value.line(), value.column(), value.toJson(), version);
  }

  private static Optional<OperatorRecord> parseOne(JsonValue value, List<ValidationError> faults) {
    if (!value.isObject()) {
      faults.add(fault(value, "expected a record but found " + value.typeName()));
      return Optional.empty();
    }
    Optional<RecordKind> kind = kind(value, faults);
    Optional<Integer> version = version(value, faults);
    if (kind.isEmpty() || version.isEmpty()) {
      return Optional.empty();
    }
    int faultsBefore = faults.size();
    TypedObject typed = RecordSchemas.schema(kind.get(), version.get()).validate(value, faults);
    if (faults.size() > faultsBefore) {
      return Optional.empty();
    }
    TypedObject newest =
        version.get() == 1
            ? RecordUpgrader.upgradeFromVersion1(kind.get(), typed, defaults(kind.get()))
            : typed;
    return checked(kind.get(), newest, value, faults);
  }

  private static Optional<OperatorRecord> checked(
      RecordKind kind, TypedObject newest, JsonValue value, List<ValidationError> faults) {
    if (kind == RecordKind.POLICY && !newest.text("name").equals(PolicyRecord.NAME)) {
      faults.add(fault(value, "a Policy must be named \"" + PolicyRecord.NAME + "\""));
      return Optional.empty();
    }
    return Optional.of(RecordBuilder.build(kind, newest));
  }

  /** Returns the newest version's default values of a kind. */
  static TypedObject defaults(RecordKind kind) {
    ObjectSchema schema = RecordSchemas.schema(kind, RecordSchemas.NEWEST_VERSION);
    Map<String, JsonValue> none = new LinkedHashMap<>();
    return schema.validate(new JsonValue(none, 1, 1), new ArrayList<>());
  }

  private static Optional<RecordKind> kind(JsonValue value, List<ValidationError> faults) {
    JsonValue given = value.fields().get("kind");
    if (given == null) {
      faults.add(fault(value, "missing key \"kind\""));
      return Optional.empty();
    }
    Optional<RecordKind> kind = RecordKind.fromWireName(String.valueOf(given.value()));
    if (kind.isEmpty()) {
      faults.add(fault(given, "unknown kind \"" + given.value() + "\""));
    }
    return kind;
  }

  private static Optional<Integer> version(JsonValue value, List<ValidationError> faults) {
    JsonValue given = value.fields().get("schemaVersion");
    if (given == null) {
      faults.add(fault(value, "missing key \"schemaVersion\""));
      return Optional.empty();
    }
    boolean supported =
        given.value() instanceof Long number
            && number >= RecordSchemas.OLDEST_VERSION
            && number <= RecordSchemas.NEWEST_VERSION;
    if (!supported) {
      faults.add(
          fault(
              given,
              "unsupported schemaVersion %s; this version reads %d to %d"
                  .formatted(
                      given.value(), RecordSchemas.OLDEST_VERSION, RecordSchemas.NEWEST_VERSION)));
      return Optional.empty();
    }
    return Optional.of(((Long) given.value()).intValue());
  }

  private static ValidationError fault(JsonValue at, String message) {
    return new ValidationError(at.line(), at.column(), message);
  }
}
