package io.nutmegseam.core.config;

/**
 * Record of an adapter: a set of weights that modifies a base model.
 *
 * @param name name of the adapter in requests
 * @param model name of the base model
 * @param memoryBytes accelerator memory that one replica needs, in bytes
 * @param maxReplicas maximum number of replicas that may be loaded at the same time
 */
public record AdapterRecord(String name, String model, long memoryBytes, int maxReplicas)
    implements OperatorRecord {
  @Override
  public RecordKind kind() {
    return RecordKind.ADAPTER;
  }
}
