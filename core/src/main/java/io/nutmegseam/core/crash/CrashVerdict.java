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
 * @param triedSoftware software on which one request was or is to be tried since the verdict; a new
 *     version may be sound, or the crashes may have had other causes
 * @param soundSoftware other software on which a request has run to its end
 * @param validUntilMillis time at which the verdict ends unless it is extended, in milliseconds
 *     since the epoch
 */
public record CrashVerdict(
    Fingerprint fingerprint,
    long generation,
    boolean condemned,
    Set<String> crashedSoftware,
    Set<String> triedSoftware,
    Set<String> soundSoftware,
    long validUntilMillis) {
  /** More trials could crash more servers than a verdict is to allow. */
  private static final int MAX_TRIALS = 2;

  /** Time after a verdict until a request may be tried on software that it crashed. */
  private static final long RECONSIDER_MILLIS = 60_000;

  /** Nodes reach the same verdict at slightly different times, which need not be shared. */
  private static final long VALIDITY_TOLERANCE_MILLIS = 60_000;

  /** Creates a verdict with a copy of the set. */
  public CrashVerdict {
    crashedSoftware = Set.copyOf(crashedSoftware);
    triedSoftware = Set.copyOf(triedSoftware);
    soundSoftware = Set.copyOf(soundSoftware);
  }

  /** Returns a verdict by which requests are refused on all software. */
  static CrashVerdict condemned(
      Fingerprint fingerprint, long generation, Set<String> crashedSoftware, long untilMillis) {
    return new CrashVerdict(
        fingerprint, generation, true, crashedSoftware, Set.of(), Set.of(), untilMillis);
  }

  /**
   * Returns whether one request may be tried on some software: at once if no server with it has
   * crashed, and otherwise after a while, in case the crashes had other causes.
   */
  public boolean mayTry(String software, long utcMillis) {
    boolean reconsidered =
        validUntilMillis - utcMillis <= CrashLedger.VERDICT_MILLIS - RECONSIDER_MILLIS;
    return condemned
        && triedSoftware.size() < MAX_TRIALS
        && !triedSoftware.contains(software)
        && !soundSoftware.contains(software)
        && (reconsidered || !crashedSoftware.contains(software));
  }

  /** Returns the verdict with a request that is to be tried on some software. */
  public CrashVerdict withTrial(String software) {
    return new CrashVerdict(
        fingerprint,
        generation,
        condemned,
        crashedSoftware,
        union(triedSoftware, Set.of(software)),
        soundSoftware,
        validUntilMillis);
  }

  /** Returns the verdict with a run that succeeded on some software. */
  CrashVerdict withSound(String software) {
    return new CrashVerdict(
        fingerprint,
        generation,
        condemned,
        crashedSoftware,
        triedSoftware,
        union(soundSoftware, Set.of(software)),
        validUntilMillis);
  }

  /** Returns what is valid of this verdict and another one on the same fingerprint. */
  public CrashVerdict merge(CrashVerdict other) {
    if (other.generation != generation) {
      return other.generation > generation ? other : this;
    }
    return new CrashVerdict(
        fingerprint,
        generation,
        condemned,
        union(crashedSoftware, other.crashedSoftware),
        union(triedSoftware, other.triedSoftware),
        union(soundSoftware, other.soundSoftware),
        Math.max(validUntilMillis, other.validUntilMillis));
  }

  private static Set<String> union(Set<String> one, Set<String> other) {
    Set<String> union = new HashSet<>(one);
    union.addAll(other);
    return union;
  }

  /** Returns whether another verdict on the same fingerprint says all that this one says. */
  public boolean isCoveredBy(CrashVerdict other) {
    return other.generation > generation
        || (other.generation == generation
            && other.crashedSoftware.containsAll(crashedSoftware)
            && other.triedSoftware.containsAll(triedSoftware)
            && other.soundSoftware.containsAll(soundSoftware)
            && other.validUntilMillis + VALIDITY_TOLERANCE_MILLIS >= validUntilMillis);
  }

  /** Returns the verdict by which requests are no longer refused. */
  CrashVerdict lifted(long untilMillis) {
    return new CrashVerdict(
        fingerprint, generation + 1, false, Set.of(), Set.of(), Set.of(), untilMillis);
  }

  /** Returns the verdict with a later end. */
  CrashVerdict extended(long untilMillis) {
    return new CrashVerdict(
        fingerprint,
        generation,
        condemned,
        crashedSoftware,
        triedSoftware,
        soundSoftware,
        untilMillis);
  }
}
