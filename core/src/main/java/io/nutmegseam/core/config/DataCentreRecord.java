package io.nutmegseam.core.config;

/**
 * Record of a data centre.
 *
 * @param name name of the data centre
 * @param region region of the data centre
 */
public record DataCentreRecord(String name, String region) implements OperatorRecord {
  @Override
  public RecordKind kind() {
    return RecordKind.DATA_CENTRE;
  }
}
