package io.nutmegseam.standin.engine;

/**
 * Counters of an engine stand-in since its creation. A simulated crash does not reset them.
 *
 * @param name name of the backend server
 * @param busyAcceleratorMillis accelerator time, in milliseconds, during which units ran requests;
 *     each unit counts with its share of the memory
 * @param idleAcceleratorMillis accelerator time, in milliseconds, during which loaded units ran no
 *     requests; each unit counts with its share of the memory
 * @param loads number of loads started
 * @param unusedLoads number of loads whose unit has run no request; loads that failed or were lost
 *     in a crash do not count
 * @param peakBytes highest total memory of all loading, loaded and unloading units, in bytes
 * @param overcommits number of loads that raised the used memory above the memory of the engine
 */
public record EngineStats(
    String name,
    double busyAcceleratorMillis,
    double idleAcceleratorMillis,
    int loads,
    int unusedLoads,
    long peakBytes,
    int overcommits) {}
