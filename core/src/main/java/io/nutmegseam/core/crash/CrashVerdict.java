package io.nutmegseam.core.crash;

import java.util.HashSet;
import java.util.Set;

/**
 * What the nodes have agreed on about a fingerprint that was suspected of crashing servers. Of two
 * verdicts the one with the higher generation is valid, so that a verdict that was lifted does not
 * come back from a node that has missed it.
 *
 * @param fingerprint the fingerprint
 * @param generation number of changes between condemned and not condemned
 * @param condemned whether requests with the fingerprint are refused
 * @param crashedSoftware services and software versions of the servers that crashed
 * @param validUntilMillis time at which the verdict ends unless it is extended, in milliseconds
 *     since the epoch
 */
public record CrashVerdict(
    Fingerprint fingerprint,
    long generation,
    boolean condemned,
    Set<String> crashedSoftware,
    long validUntilMillis) {
  /** Nodes reach the same verdict at slightly different times, which need not be shared. */
  private static final long VALIDITY_TOLERANCE_MILLIS = 60_000;

  /** Creates a verdict with a copy of the set. */
  public CrashVerdict {
    crashedSoftware = Set.copyOf(crashedSoftware);
  }

  /** Returns what is valid of this verdict and another one on the same fingerprint. */
  public CrashVerdict merge(CrashVerdict other) {
    if (other.generation != generation) {
      return other.generation > generation ? other : this;
    }
    Set<String> crashed = new HashSet<>(crashedSoftware);
    crashed.addAll(other.crashedSoftware);
    return new CrashVerdict(
        fingerprint,
        generation,
        condemned,
        crashed,
        Math.max(validUntilMillis, other.validUntilMillis));
  }

  /** Returns whether another verdict on the same fingerprint says all that this one says. */
  public boolean isCoveredBy(CrashVerdict other) {
    return other.generation > generation
        || (other.generation == generation
            && other.crashedSoftware.containsAll(crashedSoftware)
            && other.validUntilMillis + VALIDITY_TOLERANCE_MILLIS >= validUntilMillis);
  }

  /** Returns the opposite verdict, with the next generation. */
  CrashVerdict reversed(Set<String> software, long untilMillis) {
    return new CrashVerdict(fingerprint, generation + 1, !condemned, software, untilMillis);
  }

  /** Returns the verdict with a later end. */
  CrashVerdict extended(long untilMillis) {
    return new CrashVerdict(fingerprint, generation, condemned, crashedSoftware, untilMillis);
  }
}
