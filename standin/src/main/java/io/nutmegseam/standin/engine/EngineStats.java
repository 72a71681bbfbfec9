package io.nutmegseam.standin.engine;

/**
 * What an engine did since it started.
 *
 * @param name the backend server's name
 * @param busyAcceleratorMillis accelerator time held by units that ran requests
 * @param idleAcceleratorMillis accelerator time held by loaded units that ran none
 * @param loads loads begun
 * @param unusedLoads loads that no request used
 * @param peakBytes most memory held or being filled at once, in bytes
 * @param overcommits loads that went beyond the memory
 */
public record EngineStats(
    String name,
    double busyAcceleratorMillis,
    double idleAcceleratorMillis,
    int loads,
    int unusedLoads,
    long peakBytes,
    int overcommits) {}
