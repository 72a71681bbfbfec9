package io.nutmegseam.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts, for each request fingerprint, the distinct server crashes during which the request ran.
 * Each such crash is a strike against the request; strikes expire. Immutable.
 */
public final class StrikeRegistry {
  private final long retentionMillis;
  private final Map<String, Map<String, Long>> crashesByFingerprint;

  private StrikeRegistry(long retentionMillis, Map<String, Map<String, Long>> crashes) {
    this.retentionMillis = retentionMillis;
    this.crashesByFingerprint = crashes;
  }

  /**
   * Returns an empty registry.
   *
   * @param retentionMillis time after which a strike expires, in milliseconds
   */
  public static StrikeRegistry of(long retentionMillis) {
    return new StrikeRegistry(retentionMillis, Map.of());
  }

  /**
   * Returns the registry with a strike of a request that ran on a server when the server crashed.
   * Removes expired strikes. A crash counts once for each request.
   *
   * @param fingerprint the request's fingerprint
   * @param crash identifies the crash, for example by server and incarnation
   * @param nowMillis monotonic time
   */
  public StrikeRegistry addStrike(String fingerprint, String crash, long nowMillis) {
    Map<String, Map<String, Long>> next = new HashMap<>();
    crashesByFingerprint.forEach(
        (recordedFingerprint, crashes) -> {
          Map<String, Long> unexpired = new HashMap<>(crashes);
          unexpired.values().removeIf(atMillis -> atMillis + retentionMillis <= nowMillis);
          if (!unexpired.isEmpty()) {
            next.put(recordedFingerprint, unexpired);
          }
        });
    next.computeIfAbsent(fingerprint, k -> new HashMap<>()).putIfAbsent(crash, nowMillis);
    return new StrikeRegistry(retentionMillis, next);
  }

  /** Returns the number of unexpired strikes of a request, one for each distinct crash. */
  public int strikeCount(String fingerprint, long nowMillis) {
    return (int)
        crashesByFingerprint.getOrDefault(fingerprint, Map.of()).values().stream()
            .filter(atMillis -> atMillis + retentionMillis > nowMillis)
            .count();
  }

  /** Returns whether a crash is recorded; a request that is sent after that did not cause it. */
  public boolean isCrashRecorded(String crash) {
    return crashesByFingerprint.values().stream().anyMatch(crashes -> crashes.containsKey(crash));
  }
}
