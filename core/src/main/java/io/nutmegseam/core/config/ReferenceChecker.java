package io.nutmegseam.core.config;

import io.nutmegseam.core.json.ValidationError;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Finds references to records that are not there. */
public final class ReferenceChecker {
  private final Set<Catalog.RecordId> known = new HashSet<>();

  /**
   * Creates a check.
   *
   * @param existing records that references may also point to
   */
  public ReferenceChecker(Iterable<OperatorRecord> existing) {
    for (OperatorRecord record : existing) {
      addKnown(record);
    }
  }

  /** Makes one more record known. */
  public void addKnown(OperatorRecord record) {
    known.add(new Catalog.RecordId(record.kind(), record.name()));
  }

  /**
   * Checks the references of one record.
   *
   * @param located the record and its place
   * @param faults receives every reference that points nowhere
   */
  public void check(ParsedRecord located, List<ValidationError> faults) {
    OperatorRecord record = located.record();
    if (record instanceof AdapterRecord adapter) {
      require(located, RecordKind.MODEL, adapter.model(), faults);
    }
    if (record instanceof ModelRecord model) {
      model.dataCentres().forEach(name -> require(located, RecordKind.DATA_CENTRE, name, faults));
    }
    if (record instanceof BackendServerRecord server) {
      require(located, RecordKind.DATA_CENTRE, server.dataCentre(), faults);
      if (!server.isEngine()) {
        require(located, RecordKind.SERVICE, server.service(), faults);
      }
    }
  }

  private void require(
      ParsedRecord from, RecordKind kind, String name, List<ValidationError> faults) {
    if (!known.contains(new Catalog.RecordId(kind, name))) {
      String message =
          "%s \"%s\" refers to %s \"%s\", which is not there"
              .formatted(
                  from.record().kind().wireName(), from.record().name(), kind.wireName(), name);
      faults.add(new ValidationError(from.line(), from.column(), message));
    }
  }
}
