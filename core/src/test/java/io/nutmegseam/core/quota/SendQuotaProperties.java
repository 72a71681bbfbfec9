package io.nutmegseam.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class SendQuotaProperties {
  private static final long WINDOW_MILLIS = 4_000;

  /** Requests at any times, each with or without patience and alternatives. */
  @Property
  void should_never_grant_more_than_the_server_allows_within_four_seconds(
      @ForAll @DoubleRange(min = 0, max = 50) double limitPerSecond,
      @ForAll @Size(min = 1, max = 300) List<@IntRange(min = 0, max = 400) Integer> gapsMillis,
      @ForAll @IntRange(min = 0, max = 2_000) int maxWaitMillis) {
    // GIVEN
    SendQuota quota = new SendQuota(0);
    quota.setLimit(limitPerSecond, 0);
    List<Long> sentMillis = new ArrayList<>();
    long nowMillis = 0;
    // WHEN
    for (int gapMillis : gapsMillis) {
      nowMillis += gapMillis;
      SendQuota.Decision decision =
          quota.request(gapMillis % 2 == 0 ? maxWaitMillis : 0, gapMillis % 3 == 0, nowMillis);
      if (decision.granted()) {
        assertThat(decision.waitMillis()).isLessThanOrEqualTo(maxWaitMillis);
        sentMillis.add(nowMillis + decision.waitMillis());
      }
    }
    // THEN
    double allowed = 1.5 * limitPerSecond * WINDOW_MILLIS / 1_000 + 5;
    for (long startMillis : sentMillis) {
      long count =
          sentMillis.stream()
              .filter(at -> at >= startMillis && at < startMillis + WINDOW_MILLIS)
              .count();
      assertThat(count).isLessThanOrEqualTo((long) allowed);
    }
  }

  /** One request at a time, each after the wait that the last denial named. */
  @Property
  void should_grant_a_request_after_the_wait_that_its_denial_named(
      @ForAll @DoubleRange(min = 0.2, max = 50) double limitPerSecond,
      @ForAll @IntRange(min = 0, max = 20) int earlierRequests) {
    // GIVEN
    SendQuota quota = new SendQuota(0);
    quota.setLimit(limitPerSecond, 0);
    for (int i = 0; i < earlierRequests; i++) {
      quota.request(0, false, i);
    }
    SendQuota.Decision decision = quota.request(0, false, earlierRequests);
    // WHEN
    if (!decision.granted()) {
      decision = quota.request(0, false, earlierRequests + decision.waitMillis());
    }
    // THEN
    assertThat(decision.granted()).isTrue();
  }
}
