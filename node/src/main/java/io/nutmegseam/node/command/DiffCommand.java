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
    List<ValidationError> faults = new ArrayList<>();
    List<ParsedRecord> records = RecordParser.parse(text, faults);
    if (!faults.isEmpty()) {
      throw new CommandException(ExitStatus.USAGE, faults.get(0).describe("file"));
    }
    JsonNode stored = client.get("/v1/records");
    boolean allEqual = true;
    for (ParsedRecord record : records) {
      allEqual &= compare(record.record(), stored);
    }
    return allEqual ? ExitStatus.OK : ExitStatus.NO;
  }

  private boolean compare(OperatorRecord wanted, JsonNode stored) {
    Optional<OperatorRecord> current = findStored(wanted, stored);
    String label = wanted.kind().wireName() + "/" + wanted.name();
    if (current.isEmpty()) {
      out.println("+ " + label + " " + wanted);
      return false;
    }
    if (current.get().equals(wanted)) {
      return true;
    }
    out.println("- " + label + " " + current.get());
    out.println("+ " + label + " " + wanted);
    return false;
  }

  private static Optional<OperatorRecord> findStored(OperatorRecord wanted, JsonNode stored) {
    for (JsonNode row : stored) {
      boolean isSameRecord =
          row.path("kind").asText().equals(wanted.kind().wireName())
              && row.path("name").asText().equals(wanted.name());
      if (isSameRecord) {
        return RecordParser.parseStored(row.path("text").asText());
      }
    }
    return Optional.empty();
  }
}
