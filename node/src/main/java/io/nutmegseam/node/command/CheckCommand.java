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
    Map<String, List<ValidationError>> faultsByFile = new LinkedHashMap<>();
    Map<String, List<ParsedRecord>> recordsByFile = new LinkedHashMap<>();
    for (String file : files) {
      List<ValidationError> faults = new ArrayList<>();
      recordsByFile.put(file, checkFile(CommandLine.readFile(file), faults));
      faultsByFile.put(file, faults);
    }
    checkReferences(recordsByFile, faultsByFile);
    int faultCount = 0;
    for (Map.Entry<String, List<ValidationError>> entry : faultsByFile.entrySet()) {
      List<ValidationError> faults = entry.getValue();
      faults.sort(
          Comparator.comparingInt(ValidationError::line).thenComparingInt(ValidationError::column));
      faults.forEach(fault -> out.println(fault.describe(entry.getKey())));
      faultCount += faults.size();
    }
    return faultCount == 0 ? ExitStatus.OK : ExitStatus.USAGE;
  }

  private static List<ParsedRecord> checkFile(String text, List<ValidationError> faults) {
    if (isRecords(text)) {
      return RecordParser.parse(text, faults);
    }
    SettingsParser.parse(text, faults);
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
      Map<String, List<ValidationError>> faultsByFile) {
    ReferenceChecker references = new ReferenceChecker(List.of());
    recordsByFile
        .values()
        .forEach(records -> records.forEach(r -> references.addExisting(r.record())));
    recordsByFile.forEach(
        (file, records) ->
            records.forEach(record -> references.check(record, faultsByFile.get(file))));
  }
}
