package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.crash.CrashVerdict;
import io.nutmegseam.core.crash.CrashView;
import io.nutmegseam.core.crash.Fingerprint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests in progress that end for a verdict by which they were admitted. */
class CrashGuardTest {
  private static final Fingerprint SOUND_ON_V2 = new Fingerprint(1);
  private static final Fingerprint OTHER = new Fingerprint(2);

  private final TestClock clock = new TestClock();
  private final CrashGuard guard =
      new CrashGuard(
          new TrialPermits(clock),
          new CrashDetector(
              clock,
              new GatewayState(),
              (server, onOutcome) -> {},
              (delayMillis, task) -> {},
              (report, evidence) -> {}),
          (delayMillis, task) -> {},
          new CrashGuard.Listener() {
            @Override
            public void onSuccess(String software, Collection<Fingerprint> fingerprints) {}

            @Override
            public void onRefusal(Fingerprint fingerprint, Collection<String> software) {}
          });

  @Nested
  class Views {
    @Test
    void should_end_only_requests_that_a_new_verdict_condemns() {
      // GIVEN a request that was admitted to the version on which it is sound
      CrashVerdict sound = verdict(SOUND_ON_V2, Set.of("s v2"));
      guard.onView(new CrashView(Map.of(SOUND_ON_V2, sound), Map.of()));
      Request admitted = new Request(SOUND_ON_V2);
      guard.add(admitted);
      assertThat(guard.admit(admitted, "s", Set.of("v1", "v2")).onlyVersion()).contains("v2");
      Request other = new Request(OTHER);
      guard.add(other);
      // WHEN
      CrashVerdict added = verdict(OTHER, Set.of());
      guard.onView(new CrashView(Map.of(SOUND_ON_V2, sound, OTHER, added), Map.of()));
      // THEN
      assertThat(admitted.condemnedBy).isEmpty();
      assertThat(other.condemnedBy).containsExactly(added);
    }
  }

  private static CrashVerdict verdict(Fingerprint fingerprint, Set<String> soundSoftware) {
    return new CrashVerdict(fingerprint, 1, true, Set.of("s v1"), Set.of(), soundSoftware, 600_000);
  }

  private static final class Request implements CrashGuard.Guarded {
    private final Fingerprint content;
    private final List<CrashVerdict> condemnedBy = new ArrayList<>();

    private Request(Fingerprint content) {
      this.content = content;
    }

    @Override
    public RequestFingerprints fingerprints() {
      return new RequestFingerprints(content, List.of());
    }

    @Override
    public void onCondemned(CrashVerdict verdict) {
      condemnedBy.add(verdict);
    }
  }
}
