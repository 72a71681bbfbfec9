package io.nutmegseam.standin.measure;

/**
 * Sums of the statistics of all engines.
 *
 * @param busyMillis accelerator time of units that were running requests; each unit counts with its
 *     share of the engine's memory
 * @param idleMillis accelerator time of loaded units that were running no request, counted likewise
 * @param loads number of loads started
 * @param unusedLoads number of loads whose unit served no request
 * @param overcommits number of loads that exceeded the memory of their engine
 */
record EngineTotals(
    double busyMillis, double idleMillis, int loads, int unusedLoads, int overcommits) {
  EngineTotals plus(EngineTotals other) {
    return new EngineTotals(
        busyMillis + other.busyMillis,
        idleMillis + other.idleMillis,
        loads + other.loads,
        unusedLoads + other.unusedLoads,
        overcommits + other.overcommits);
  }

  EngineTotals minus(EngineTotals earlier) {
    return new EngineTotals(
        busyMillis - earlier.busyMillis,
        idleMillis - earlier.idleMillis,
        loads - earlier.loads,
        unusedLoads - earlier.unusedLoads,
        overcommits - earlier.overcommits);
  }
}
