package io.nutmegseam.node.gateway;

import io.nutmegseam.core.crash.Fingerprint;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Permits of this node to try one request with a condemned fingerprint on other software. A permit
 * is reserved for one request until it is sent or ends. Confined to the traffic thread.
 */
final class TrialPermits {
  private static final long VALID_MILLIS = 30_000;

  private final InstantSource clock;
  private final Map<Fingerprint, Permit> permitByFingerprint = new HashMap<>();

  private static final class Permit {
    private final String software;
    private final long untilMillis;
    private Object holder;

    private Permit(String software, long untilMillis) {
      this.software = software;
      this.untilMillis = untilMillis;
    }
  }

  /**
   * Creates an instance without permits.
   *
   * @param clock monotonic clock
   */
  TrialPermits(InstantSource clock) {
    this.clock = clock;
  }

  /** Adds a permit. */
  void grant(Fingerprint fingerprint, String software) {
    long nowMillis = clock.millis();
    permitByFingerprint.values().removeIf(permit -> permit.untilMillis < nowMillis);
    permitByFingerprint.put(fingerprint, new Permit(software, nowMillis + VALID_MILLIS));
  }

  /** Reserves a permit for a request, and returns the software on which it may run. */
  Optional<String> reserve(Fingerprint fingerprint, Object request) {
    Permit permit = permitByFingerprint.get(fingerprint);
    boolean free =
        permit != null
            && permit.untilMillis >= clock.millis()
            && (permit.holder == null || permit.holder == request);
    if (free) {
      permit.holder = request;
    }
    return free ? Optional.of(permit.software) : Optional.empty();
  }

  /** Uses up the permits that are reserved for a request, since it is sent to a server. */
  void onSent(Object request) {
    permitByFingerprint.values().removeIf(permit -> permit.holder == request);
  }

  /** Releases the permits that are reserved for a request, since it has ended. */
  void onEnded(Object request) {
    for (Permit permit : permitByFingerprint.values()) {
      if (permit.holder == request) {
        permit.holder = null;
      }
    }
  }
}
