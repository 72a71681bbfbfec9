package io.nutmegseam.core.gateway;

import java.util.Map;

/**
 * The model engine of a service. All servers of the service have the same capacity.
 *
 * @param slots maximum number of requests that a server runs concurrently
 * @param cacheTokens KV cache capacity of a server for running requests and cached prompts, in
 *     tokens
 * @param modelMemoryMegabytes memory of a server for models and adapters, in megabytes
 * @param adapterSlots maximum number of adapters that a server can have loaded
 * @param storeLoadsPerSecond maximum rate of loads from the weight store on all servers together
 * @param models models by name, in the order of the configuration
 */
public record EngineSpec(
    int slots,
    long cacheTokens,
    double modelMemoryMegabytes,
    int adapterSlots,
    double storeLoadsPerSecond,
    Map<String, ModelSpec> models) {
  /** Returns the longest duration of a load from the weight store without parallel loads. */
  public long longestStoreLoadMillis() {
    return models.values().stream().mapToLong(ModelSpec::storeLoadMillis).max().orElse(0);
  }
}
