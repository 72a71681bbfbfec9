package io.nutmegseam.node.gateway;

import io.nutmegseam.core.crash.Fingerprint;

/**
 * Remembers which fingerprints ran to their end of late, on which software. It takes a fixed amount
 * of memory: of more fingerprints than fit, those that ran last are kept. Confined to the traffic
 * thread.
 */
final class RecentRuns {
  private static final int SETS = 1 << 13;
  private static final int WAYS = 4;

  /** Odd constant with well-mixed bits, by which similar software names get different keys. */
  private static final long MIX = 0x9E3779B97F4A7C15L;

  private final long[] keys = new long[SETS * WAYS];

  /** Records a run that succeeded. */
  void add(Fingerprint fingerprint, String software) {
    long key = key(fingerprint, software);
    int first = firstIndex(key);
    int position = first;
    while (position < first + WAYS - 1 && keys[position] != key) {
      position++;
    }
    System.arraycopy(keys, first, keys, first + 1, position - first);
    keys[first] = key;
  }

  /** Returns whether a run that succeeded is remembered. */
  boolean contains(Fingerprint fingerprint, String software) {
    long key = key(fingerprint, software);
    int first = firstIndex(key);
    for (int i = first; i < first + WAYS; i++) {
      if (keys[i] == key) {
        return true;
      }
    }
    return false;
  }

  private static long key(Fingerprint fingerprint, String software) {
    return fingerprint.bits() ^ (software.hashCode() * MIX);
  }

  private static int firstIndex(long key) {
    return (int) (key & (SETS - 1)) * WAYS;
  }
}
