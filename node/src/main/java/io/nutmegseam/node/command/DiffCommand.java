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

/** Compares the records of a file with those in force, by meaning and not by spelling. */
final class DiffCommand {
  private final OperatorClient client;
  private final PrintStream out;

  DiffCommand(OperatorClient client, PrintStream out) {
    this.client = client;
    this.out = out;
  }

  /** Returns {@code NO} if there is a difference. */
  ExitStatus run(String text) throws CommandException {
    List<ValidationError> faults = new ArrayList<>();
    List<ParsedRecord> records = RecordParser.parse(text, faults);
    if (!faults.isEmpty()) {
      throw new CommandException(ExitStatus.USAGE, faults.get(0).describe("file"));
    }
    JsonNode stored = client.get("/v1/records");
    boolean same = true;
    for (ParsedRecord record : records) {
      same &= compare(record.record(), stored);
    }
    return same ? ExitStatus.OK : ExitStatus.NO;
  }

  private boolean compare(OperatorRecord wanted, JsonNode stored) {
    Optional<OperatorRecord> present = find(wanted, stored);
    String label = wanted.kind().wireName() + "/" + wanted.name();
    if (present.isEmpty()) {
      out.println("+ " + label + " " + wanted);
      return false;
    }
    if (present.get().equals(wanted)) {
      return true;
    }
    out.println("- " + label + " " + present.get());
    out.println("+ " + label + " " + wanted);
    return false;
  }

  private static Optional<OperatorRecord> find(OperatorRecord wanted, JsonNode stored) {
    for (JsonNode row : stored) {
      boolean match =
          row.path("kind").asText().equals(wanted.kind().wireName())
              && row.path("name").asText().equals(wanted.name());
      if (match) {
        return RecordParser.parseStored(row.path("text").asText());
      }
    }
    return Optional.empty();
  }
}
