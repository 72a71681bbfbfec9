package io.nutmegseam.node.quota;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers until when sends to servers with limits were denied, so that they are not asked for
 * earlier. Confined to the traffic thread.
 */
final class ExhaustedQuotas {
  private static final int PRUNE_SIZE = 256;

  private final InstantSource clock;
  private final Map<Key, Long> untilMillisByKey = new HashMap<>();

  /** Requests that other servers can serve are denied earlier than those that none can. */
  private record Key(String process, boolean hasAlternative) {}

  /**
   * Creates a component without denials.
   *
   * @param clock monotonic clock
   */
  ExhaustedQuotas(InstantSource clock) {
    this.clock = clock;
  }

  /** Records a denial for a time, in milliseconds. */
  void onDenied(String process, boolean hasAlternative, long millis) {
    long nowMillis = clock.millis();
    if (untilMillisByKey.size() >= PRUNE_SIZE) {
      untilMillisByKey.values().removeIf(untilMillis -> untilMillis <= nowMillis);
    }
    untilMillisByKey.put(new Key(process, hasAlternative), nowMillis + millis);
  }

  /**
   * Records that a server has asked for no sends for a time, unless an earlier one lasts longer.
   */
  void onPause(String process, long millis) {
    onDenied(process, false, Math.max(millis, millis(process, false)));
  }

  /** Returns whether no send was ever denied. */
  boolean isEmpty() {
    return untilMillisByKey.isEmpty();
  }

  /** Returns for how long a send would still be denied, in milliseconds. */
  long millis(String process, boolean hasAlternative) {
    long nowMillis = clock.millis();
    long untilMillis = untilMillisByKey.getOrDefault(new Key(process, false), nowMillis);
    if (hasAlternative) {
      untilMillis =
          Math.max(untilMillis, untilMillisByKey.getOrDefault(new Key(process, true), nowMillis));
    }
    return Math.max(0, untilMillis - nowMillis);
  }
}
