package io.nutmegseam.node.command;

import io.nutmegseam.core.config.ParsedRecord;
import io.nutmegseam.core.config.RecordParser;
import io.nutmegseam.core.config.ReferenceChecker;
import io.nutmegseam.core.json.JsonReader;
import io.nutmegseam.core.json.JsonValue;
import io.nutmegseam.core.json.ValidationError;
import io.nutmegseam.node.settings.SettingsParser;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Checks settings and record files offline. A record may refer to records in any of the files. */
final class CheckCommand {
  private final PrintStream out;

  CheckCommand(PrintStream out) {
    this.out = out;
  }

  ExitStatus run(List<String> files) throws CommandException {
    Map<String, List<ValidationError>> errorsByFile = new LinkedHashMap<>();
    Map<String, List<ParsedRecord>> recordsByFile = new LinkedHashMap<>();
    for (String file : files) {
      List<ValidationError> errors = new ArrayList<>();
      recordsByFile.put(file, checkFile(CommandLine.readFile(file), errors));
      errorsByFile.put(file, errors);
    }
    checkReferences(recordsByFile, errorsByFile);
    int errorCount = 0;
    for (Map.Entry<String, List<ValidationError>> entry : errorsByFile.entrySet()) {
      List<ValidationError> errors = entry.getValue();
      errors.sort(
          Comparator.comparingInt(ValidationError::line).thenComparingInt(ValidationError::column));
      errors.forEach(error -> out.println(error.describe(entry.getKey())));
      errorCount += errors.size();
    }
    return errorCount == 0 ? ExitStatus.OK : ExitStatus.USAGE;
  }

  private static List<ParsedRecord> checkFile(String text, List<ValidationError> errors) {
    if (isRecords(text)) {
      return RecordParser.parse(text, errors);
    }
    SettingsParser.parse(text, errors);
    return List.of();
  }

  /**
   * Returns whether a file holds records: an array, or an object with a {@code kind} or a {@code
   * schemaVersion}. Text that is not JSON counts as records; any other JSON counts as settings.
   */
  private static boolean isRecords(String text) {
    Optional<JsonValue> value = JsonReader.read(text, new ArrayList<>());
    return value.isEmpty()
        || value.get().isArray()
        || (value.get().isObject()
            && (value.get().fields().containsKey("kind")
                || value.get().fields().containsKey("schemaVersion")));
  }

  private static void checkReferences(
      Map<String, List<ParsedRecord>> recordsByFile,
      Map<String, List<ValidationError>> errorsByFile) {
    ReferenceChecker references = new ReferenceChecker(List.of());
    recordsByFile
        .values()
        .forEach(records -> records.forEach(r -> references.addExisting(r.record())));
    recordsByFile.forEach(
        (file, records) ->
            records.forEach(record -> references.check(record, errorsByFile.get(file))));
  }
}
