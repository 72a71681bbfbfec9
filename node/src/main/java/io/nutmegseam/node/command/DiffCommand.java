package io.nutmegseam.node.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.nutmegseam.core.config.OperatorRecord;
import io.nutmegseam.core.config.ParsedRecord;
import io.nutmegseam.core.config.RecordParser;
import io.nutmegseam.core.json.ValidationError;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Compares the records of a file with the active records, by value and not by text. */
final class DiffCommand {
  private final OperatorClient client;
  private final PrintStream out;

  DiffCommand(OperatorClient client, PrintStream out) {
    this.client = client;
    this.out = out;
  }

  /** Prints each difference; returns {@code NO} if there is any. */
  ExitStatus run(String text) throws CommandException {
    List<ValidationError> errors = new ArrayList<>();
    List<ParsedRecord> records = RecordParser.parse(text, errors);
    if (!errors.isEmpty()) {
      throw new CommandException(ExitStatus.USAGE, errors.get(0).describe("file"));
    }
    JsonNode stored = client.get("/v1/records");
    boolean allEqual = true;
    for (ParsedRecord record : records) {
      allEqual &= compare(record.record(), stored);
    }
    return allEqual ? ExitStatus.OK : ExitStatus.NO;
  }

  private boolean compare(OperatorRecord declared, JsonNode stored) {
    Optional<OperatorRecord> current = findStored(declared, stored);
    String label = declared.kind().wireName() + "/" + declared.name();
    if (current.isEmpty()) {
      out.println("+ " + label + " " + declared);
      return false;
    }
    if (current.get().equals(declared)) {
      return true;
    }
    out.println("- " + label + " " + current.get());
    out.println("+ " + label + " " + declared);
    return false;
  }

  private static Optional<OperatorRecord> findStored(OperatorRecord declared, JsonNode stored) {
    for (JsonNode row : stored) {
      boolean isSameRecord =
          row.path("kind").asText().equals(declared.kind().wireName())
              && row.path("name").asText().equals(declared.name());
      if (isSameRecord) {
        return RecordParser.parseStored(row.path("text").asText());
      }
    }
    return Optional.empty();
  }
}
