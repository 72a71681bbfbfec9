package io.nutmegseam.standin.engine;

/**
 * Describes the engine that a stand-in simulates.
 *
 * @param name name of the backend server
 * @param memoryBytes total memory of the accelerators, in bytes
 * @param accelerators number of accelerators
 * @param tokensPerSecond tokens that one request generates per second while no other request runs
 * @param checksFencing whether the engine rejects an order whose fencing number is lower than the
 *     highest that it has seen
 * @param cachedUnits units whose weights are on the local disk at the start, so that a load does
 *     not fetch them from the weight store
 * @param diskLoadMillis time to load a model from disk into memory, in milliseconds; an adapter is
 *     loaded without this delay
 * @param reportLagMillis time by which load reports lag behind the state of the engine, in
 *     milliseconds
 * @param restartMillis time for which the engine refuses connections after a crash, in milliseconds
 */
public record EngineProfile(
    String name,
    long memoryBytes,
    int accelerators,
    double tokensPerSecond,
    boolean checksFencing,
    java.util.Set<String> cachedUnits,
    long diskLoadMillis,
    long reportLagMillis,
    long restartMillis) {}
