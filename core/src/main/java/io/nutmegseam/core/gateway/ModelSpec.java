package io.nutmegseam.core.gateway;

/**
 * A model that the servers of a service can load.
 *
 * @param name name of the model
 * @param weightsMegabytes memory that the weights of the model need, in megabytes
 * @param storeLoadMillis load time from the weight store, in milliseconds
 * @param diskLoadMillis load time from the server's local disk, in milliseconds
 * @param hostMemoryLoadMillis load time from the server's host memory, in milliseconds
 * @param adapterCount number of adapters of the model
 * @param adapterMegabytes memory that one adapter needs, in megabytes
 */
public record ModelSpec(
    String name,
    double weightsMegabytes,
    long storeLoadMillis,
    long diskLoadMillis,
    long hostMemoryLoadMillis,
    int adapterCount,
    double adapterMegabytes) {}
