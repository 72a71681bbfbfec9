package io.nutmegseam.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StoreLoadLimiterTest {
  private static final double LOADS_PER_SECOND = 38;
  private static final long WINDOW_MILLIS = 5_000;
  private static final long OWN_MILLIS = 10_200;
  private static final long STEP_MILLIS = 250;

  private final StoreLoadLimiter loads = new StoreLoadLimiter(4, WINDOW_MILLIS);

  @Nested
  class Rate {
    @Test
    void should_not_begin_more_loads_in_a_window_than_the_store_allows() {
      for (int i = 0; i < 5; i++) {
        loads.onStarted("s" + i, i);
      }
      loads.onRunningCount(0, 5);
      assertThat(loads.allowedLoads(1, 10)).isZero();
      assertThat(loads.allowedLoads(1, WINDOW_MILLIS)).isEqualTo(1);
    }
  }

  /** Pattern: a store that carries fewer loads at full speed than the settings say. */
  @Nested
  class SharedStore {
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void should_estimate_how_many_loads_run_at_full_speed(int fullSpeed) {
      run(fullSpeed, 120_000);
      assertThat(loads.parallelLoads()).isBetween(fullSpeed, fullSpeed + 1);
    }

    @Test
    void should_use_the_maximum_parallelism_of_a_store_that_sustains_it() {
      run(4, 3 * OWN_MILLIS);
      assertThat(loads.parallelLoads()).isEqualTo(4);
    }

    @Test
    void should_bound_parallel_loads_that_slow_one_another_down() {
      // GIVEN loads that are begun whenever that is allowed
      int most = run(2, 120_000);
      // THEN
      assertThat(most).isLessThanOrEqualTo(4);
    }

    @Test
    void should_expect_loads_to_take_longer_under_contention() {
      run(2, 120_000);
      loads.onRunningCount(loads.parallelLoads(), 120_000);
      assertThat(loads.expectedMillis(OWN_MILLIS)).isEqualTo(OWN_MILLIS);
      loads.onRunningCount(2 * loads.parallelLoads(), 120_000);
      assertThat(loads.expectedMillis(OWN_MILLIS)).isEqualTo(2 * OWN_MILLIS);
    }
  }

  /** Simulates a store and returns the most loads that ran side by side. */
  private int run(int fullSpeed, long millis) {
    List<double[]> running = new ArrayList<>();
    int most = 0;
    for (long now = 0; now < millis; now += STEP_MILLIS) {
      double speed = Math.min(1, (double) fullSpeed / Math.max(1, running.size()));
      for (double[] load : new ArrayList<>(running)) {
        load[0] += STEP_MILLIS * speed;
        if (load[0] >= OWN_MILLIS) {
          running.remove(load);
          loads.onDone(load, OWN_MILLIS, now);
        } else {
          loads.onProgress(load, OWN_MILLIS, now);
        }
      }
      loads.onRunningCount(running.size(), now);
      int allowed = loads.allowedLoads(LOADS_PER_SECOND, now);
      for (int i = 0; i < allowed; i++) {
        double[] load = {0};
        loads.onStarted(load, now);
        running.add(load);
      }
      most = Math.max(most, running.size());
    }
    return most;
  }
}
