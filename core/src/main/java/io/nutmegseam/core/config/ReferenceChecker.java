package io.nutmegseam.core.config;

import io.nutmegseam.core.json.ValidationError;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Finds references to records that do not exist. */
public final class ReferenceChecker {
  private final Set<Catalog.RecordId> existingIds = new HashSet<>();

  /**
   * Creates a checker.
   *
   * @param existing records that may be referred to
   */
  public ReferenceChecker(Iterable<OperatorRecord> existing) {
    for (OperatorRecord record : existing) {
      addExisting(record);
    }
  }

  /** Adds a record that may be referred to. */
  public void addExisting(OperatorRecord record) {
    existingIds.add(new Catalog.RecordId(record.kind(), record.name()));
  }

  /**
   * Checks the references of a record.
   *
   * @param parsed the record and its position
   * @param errors receives an error for every reference to a missing record
   */
  public void check(ParsedRecord parsed, List<ValidationError> errors) {
    OperatorRecord record = parsed.record();
    if (record instanceof AdapterRecord adapter) {
      require(parsed, RecordKind.MODEL, adapter.model(), errors);
    }
    if (record instanceof ModelRecord model) {
      model.dataCentres().forEach(name -> require(parsed, RecordKind.DATA_CENTRE, name, errors));
    }
    if (record instanceof BackendServerRecord server) {
      require(parsed, RecordKind.DATA_CENTRE, server.dataCentre(), errors);
      if (!server.isEngine()) {
        require(parsed, RecordKind.SERVICE, server.service(), errors);
      }
    }
  }

  private void require(
      ParsedRecord from, RecordKind kind, String name, List<ValidationError> errors) {
    if (!existingIds.contains(new Catalog.RecordId(kind, name))) {
      String message =
          "%s \"%s\" refers to %s \"%s\", which does not exist"
              .formatted(
                  from.record().kind().wireName(), from.record().name(), kind.wireName(), name);
      errors.add(new ValidationError(from.line(), from.column(), message));
    }
  }
}
