package io.nutmegseam.core.gateway;

/**
 * A model that the servers of a service can load.
 *
 * @param name name of the model
 * @param weightsMegabytes memory of its weights
 * @param storeLoadMillis time of a load from the weight store, in milliseconds
 * @param diskLoadMillis time of a load from the server's own disk, in milliseconds
 * @param hostMemoryLoadMillis time of a load from the server's host memory, in milliseconds
 * @param adapterCount number of adapters
 * @param adapterMegabytes memory of one adapter
 */
public record ModelSpec(
    String name,
    double weightsMegabytes,
    long storeLoadMillis,
    long diskLoadMillis,
    long hostMemoryLoadMillis,
    int adapterCount,
    double adapterMegabytes) {}
