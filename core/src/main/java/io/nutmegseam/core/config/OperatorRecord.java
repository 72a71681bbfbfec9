package io.nutmegseam.core.config;

/** A record that an operator wrote, converted to the newest schema version. */
public sealed interface OperatorRecord
    permits ModelRecord,
        AdapterRecord,
        ServiceRecord,
        BackendServerRecord,
        DataCentreRecord,
        PolicyRecord {
  /** Returns the name, which is unique within the kind. */
  String name();

  /** Returns the record kind. */
  RecordKind kind();
}
