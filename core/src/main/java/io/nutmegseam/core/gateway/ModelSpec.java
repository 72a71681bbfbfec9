package io.nutmegseam.core.gateway;

/**
 * A model that the servers of a service can load.
 *
 * @param name name of the model
 * @param weightsMegabytes memory of its weights
 * @param coldLoadMillis time of a load from the weight store, in milliseconds
 * @param diskLoadMillis time of a load from the server's own disk, in milliseconds
 * @param memoryLoadMillis time of a load from the server's host memory, in milliseconds
 * @param adapters number of adapters
 * @param adapterMegabytes memory of one adapter
 */
public record ModelSpec(
    String name,
    double weightsMegabytes,
    long coldLoadMillis,
    long diskLoadMillis,
    long memoryLoadMillis,
    int adapters,
    double adapterMegabytes) {}
