package io.nutmegseam.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** When a load may show that the weight store serves more at a time than was seen so far. */
class StoreLoadStepTest {
  private static final double LOADS_PER_SECOND = 38;
  private static final long UNCONTENDED_MILLIS = 10_200;
  private static final long STEP_MILLIS = 250;

  private final StoreLoadLimiter limiter = new StoreLoadLimiter(4, 5_000);

  /**
   * Guards against requests that come before it is known what the store serves: while nobody waits,
   * the first loads try one more at once.
   */
  @Test
  void should_know_a_store_of_four_after_two_load_times_without_demand() {
    // GIVEN
    Map<String, Long> endMillisByServer = new HashMap<>();
    SimulatedWeightStore store = new SimulatedWeightStore(4, UNCONTENDED_MILLIS);
    long reportLagMillis = 2 * STEP_MILLIS;
    int started = 0;
    // WHEN
    for (long now = 0; now <= 2 * (UNCONTENDED_MILLIS + reportLagMillis); now += STEP_MILLIS) {
      for (String server : List.copyOf(endMillisByServer.keySet())) {
        if (now >= endMillisByServer.get(server)) {
          endMillisByServer.remove(server);
          limiter.onDone(server, now);
        } else {
          limiter.onProgress(server, now);
        }
      }
      limiter.onNoDemand(now);
      for (int i = limiter.allowedLoads(LOADS_PER_SECOND, now); i > 0; i--) {
        String server = "s" + started++;
        endMillisByServer.put(server, store.begin(now));
        limiter.onStarted(server, "m", UNCONTENDED_MILLIS, now);
      }
    }
    // THEN
    assertThat(limiter.provenParallelLoads()).isEqualTo(4);
  }

  /**
   * Guards against a store of which half is not used, since the end of the load that tried whether
   * it serves more was lost with its server.
   */
  @Test
  void should_try_a_further_load_again_when_the_lost_one_must_have_ended() {
    // GIVEN two loads at full speed, and then a third one whose server is lost
    long startMillis = UNCONTENDED_MILLIS + STEP_MILLIS;
    startAndEndTwoLoads();
    assertThat(startAllowedLoads("a", startMillis)).isEqualTo(2);
    assertThat(startAllowedLoads("b", startMillis)).isEqualTo(1);
    limiter.onUntracked("b0", startMillis + 1_000);
    limiter.onDone("a0", startMillis + UNCONTENDED_MILLIS);
    limiter.onDone("a1", startMillis + UNCONTENDED_MILLIS);
    // WHEN a store that serves two loads has ended it
    long endMillis = startMillis + 15 * UNCONTENDED_MILLIS / 10;
    // THEN
    assertThat(startAllowedLoads("c", endMillis)).isEqualTo(2);
    assertThat(startAllowedLoads("d", endMillis)).isEqualTo(1);
  }

  private void startAndEndTwoLoads() {
    startAllowedLoads("first", 0);
    limiter.onDone("first0", UNCONTENDED_MILLIS);
    limiter.onDone("first1", UNCONTENDED_MILLIS);
  }

  /** Starts all loads that are allowed, and returns their number. */
  private int startAllowedLoads(String prefix, long nowMillis) {
    int allowed = limiter.allowedLoads(LOADS_PER_SECOND, nowMillis);
    for (int i = 0; i < allowed; i++) {
      limiter.onStarted(prefix + i, "m", UNCONTENDED_MILLIS, nowMillis);
      limiter.onAccepted(prefix + i, nowMillis);
    }
    return allowed;
  }
}
