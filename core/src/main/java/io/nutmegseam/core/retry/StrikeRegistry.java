package io.nutmegseam.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts, for each request fingerprint, the distinct server crashes during which it ran. Entries
 * expire. Immutable.
 */
public final class StrikeRegistry {
  private final long retentionMillis;
  private final Map<String, Map<String, Long>> crashesByFingerprint;

  private StrikeRegistry(long retentionMillis, Map<String, Map<String, Long>> crashes) {
    this.retentionMillis = retentionMillis;
    this.crashesByFingerprint = crashes;
  }

  /**
   * Creates an empty book.
   *
   * @param retentionMillis time after which a strike is forgotten, in milliseconds
   */
  public static StrikeRegistry of(long retentionMillis) {
    return new StrikeRegistry(retentionMillis, Map.of());
  }

  /**
   * Notes that a request ran on a server when it crashed.
   *
   * @param fingerprint the request's fingerprint
   * @param crash names the crash, such as server and incarnation
   * @param nowMillis monotonic time
   */
  public StrikeRegistry addStrike(String fingerprint, String crash, long nowMillis) {
    Map<String, Map<String, Long>> next = new HashMap<>();
    crashesByFingerprint.forEach(
        (known, crashes) -> {
          Map<String, Long> fresh = new HashMap<>(crashes);
          fresh.values().removeIf(atMillis -> atMillis + retentionMillis <= nowMillis);
          if (!fresh.isEmpty()) {
            next.put(known, fresh);
          }
        });
    next.computeIfAbsent(fingerprint, k -> new HashMap<>()).putIfAbsent(crash, nowMillis);
    return new StrikeRegistry(retentionMillis, next);
  }

  /** Returns the number of distinct crashes during which a request ran. */
  public int strikeCount(String fingerprint, long nowMillis) {
    return (int)
        crashesByFingerprint.getOrDefault(fingerprint, Map.of()).values().stream()
            .filter(atMillis -> atMillis + retentionMillis > nowMillis)
            .count();
  }

  /** Returns whether a crash is known, so that a request sent later did not cause it. */
  public boolean isCrashRecorded(String crash) {
    return crashesByFingerprint.values().stream().anyMatch(known -> known.containsKey(crash));
  }
}
