package io.nutmegseam.core.config;

import io.nutmegseam.core.json.Fault;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Finds references to records that are not there. */
public final class ReferenceCheck {
  private final Set<Catalog.RecordId> known = new HashSet<>();

  /**
   * Creates a check.
   *
   * @param existing records that references may also point to
   */
  public ReferenceCheck(Iterable<OperatorRecord> existing) {
    for (OperatorRecord record : existing) {
      add(record);
    }
  }

  /** Makes one more record known. */
  public void add(OperatorRecord record) {
    known.add(new Catalog.RecordId(record.kind(), record.name()));
  }

  /**
   * Checks the references of one record.
   *
   * @param located the record and its place
   * @param faults receives every reference that points nowhere
   */
  public void check(LocatedRecord located, List<Fault> faults) {
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

  private void require(LocatedRecord from, RecordKind kind, String name, List<Fault> faults) {
    if (!known.contains(new Catalog.RecordId(kind, name))) {
      String message =
          "%s \"%s\" refers to %s \"%s\", which is not there"
              .formatted(from.record().kind().word(), from.record().name(), kind.word(), name);
      faults.add(new Fault(from.line(), from.column(), message));
    }
  }
}
