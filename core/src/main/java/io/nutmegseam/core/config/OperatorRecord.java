package io.nutmegseam.core.config;

/** A record that an operator wrote, in its newest form. */
public sealed interface OperatorRecord
    permits ModelRecord,
        AdapterRecord,
        ServiceRecord,
        BackendServerRecord,
        DataCentreRecord,
        PolicyRecord {
  /** Returns the name, unique within the kind. */
  String name();

  /** Returns the kind. */
  RecordKind kind();
}
