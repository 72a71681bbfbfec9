package io.nutmegseam.core.config;

/**
 * An adapter of a model.
 *
 * @param name the adapter's name in requests
 * @param model the model that it adapts
 * @param memoryBytes accelerator memory of one replica, in bytes
 * @param maxReplicas most replicas that may be loaded at once
 */
public record AdapterRecord(String name, String model, long memoryBytes, int maxReplicas)
    implements OperatorRecord {
  @Override
  public RecordKind kind() {
    return RecordKind.ADAPTER;
  }
}
