package io.nutmegseam.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against models that are never served, since a place of the store counts as taken until the
 * entry of a crashed server lapses.
 */
class SilentStoreLoadTest {
  private static final long UNCONTENDED_MILLIS = 10_200;
  private static final long STEP_MILLIS = 250;

  private final StoreLoadLimiter limiter = new StoreLoadLimiter(4, 5_000);

  @Test
  void should_not_count_a_load_that_the_store_must_have_served() {
    // GIVEN
    limiter.onStarted("s1", "m", UNCONTENDED_MILLIS, 0);
    limiter.onAccepted("s1", 0);
    // THEN
    assertThat(limiter.runningLoads(UNCONTENDED_MILLIS)).isEqualTo(1);
    assertThat(limiter.runningLoads(UNCONTENDED_MILLIS + 1_001)).isZero();
    assertThat(limiter.nextFreeMillis(UNCONTENDED_MILLIS + 1_001))
        .isEqualTo(UNCONTENDED_MILLIS + 1_001);
  }

  @Test
  void should_count_a_late_load_that_its_server_goes_on_with() {
    // GIVEN
    limiter.onStarted("s1", "m", UNCONTENDED_MILLIS, 0);
    limiter.onAccepted("s1", 0);
    // WHEN
    limiter.onProgress("s1", UNCONTENDED_MILLIS + 900);
    // THEN
    assertThat(limiter.runningLoads(UNCONTENDED_MILLIS + 1_900)).isEqualTo(1);
  }

  @Test
  void should_learn_nothing_beside_a_load_whose_end_is_not_known() {
    // GIVEN
    limiter.onStarted("s1", "m", UNCONTENDED_MILLIS, 0);
    limiter.onAccepted("s1", 0);
    // WHEN a load beside it takes twice the usual time
    long startMillis = UNCONTENDED_MILLIS + 1_001;
    limiter.onStarted("s2", "m", UNCONTENDED_MILLIS, startMillis);
    limiter.onAccepted("s2", startMillis);
    limiter.onProgress("s2", startMillis + 2 * UNCONTENDED_MILLIS - STEP_MILLIS);
    limiter.onDone("s2", startMillis + 2 * UNCONTENDED_MILLIS);
    // THEN
    assertThat(limiter.provenParallelLoads()).isEqualTo(2);
  }
}
