package io.nutmegseam.standin.engine;

/**
 * What kind of engine a stand-in plays.
 *
 * @param name the backend server's name
 * @param memoryBytes accelerator memory, in bytes
 * @param accelerators number of accelerators
 * @param tokensPerSecond generation speed of one stream
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param cachedUnits units whose weights lie on its disk; they load without the weight store
 * @param diskLoadMillis time to load from disk into memory, in milliseconds
 * @param reportLagMillis lag of load reports, in milliseconds
 * @param restartMillis time that it is away after a crash, in milliseconds
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
