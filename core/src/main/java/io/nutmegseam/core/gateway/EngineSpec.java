package io.nutmegseam.core.gateway;

import java.util.Map;

/**
 * The model engine of a service; all its servers have the same memory.
 *
 * @param slots requests that a server runs at once
 * @param cacheTokens memory of running requests and cached prompts, in tokens
 * @param modelMemoryMegabytes memory for weights and adapters
 * @param adapterSlots most adapters that a server holds
 * @param storeLoadsPerSecond most loads from the weight store over all servers
 * @param models the models, by name, in the order of the configuration
 */
public record EngineSpec(
    int slots,
    long cacheTokens,
    double modelMemoryMegabytes,
    int adapterSlots,
    double storeLoadsPerSecond,
    Map<String, ModelSpec> models) {}
