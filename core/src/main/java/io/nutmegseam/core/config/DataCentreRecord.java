package io.nutmegseam.core.config;

/**
 * A data centre.
 *
 * @param name the data centre's name
 * @param region the region in which it stands
 */
public record DataCentreRecord(String name, String region) implements OperatorRecord {
  @Override
  public RecordKind kind() {
    return RecordKind.DATA_CENTRE;
  }
}
