package io.nutmegseam.standin.measure;

/**
 * What all engines did.
 *
 * @param busyMillis accelerator time held by units that ran requests
 * @param idleMillis accelerator time held by loaded units that ran none
 * @param loads loads begun
 * @param unusedLoads loads that no request used
 * @param overcommits loads beyond the memory
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
