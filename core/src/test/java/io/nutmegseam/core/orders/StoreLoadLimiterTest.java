package io.nutmegseam.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StoreLoadLimiterTest {
  private static final double LOADS_PER_SECOND = 38;
  private static final long WINDOW_MILLIS = 5_000;
  private static final long UNCONTENDED_MILLIS = 10_200;
  private static final long STEP_MILLIS = 250;

  private final StoreLoadLimiter limiter = new StoreLoadLimiter(4, WINDOW_MILLIS);

  @Nested
  class Rate {
    @Test
    void should_not_begin_more_loads_in_a_window_than_the_store_allows() {
      for (int i = 0; i < 5; i++) {
        limiter.onStarted("s" + i, "m", UNCONTENDED_MILLIS, i);
      }
      for (int i = 0; i < 5; i++) {
        limiter.onNotLoaded("s" + i, 5);
      }
      assertThat(limiter.allowedLoads(1, 10)).isZero();
      assertThat(limiter.allowedLoads(1, WINDOW_MILLIS)).isEqualTo(1);
    }
  }

  /** The store serves fewer loads at full speed than the settings allow, so loads slow down. */
  @Nested
  class SharedStore {
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void should_estimate_how_many_loads_run_at_full_speed(int fullSpeedLoads) {
      simulate(fullSpeedLoads, 120_000);
      assertThat(limiter.parallelLoads()).isBetween(fullSpeedLoads, fullSpeedLoads + 1);
    }

    @Test
    void should_use_the_maximum_parallelism_of_a_store_that_sustains_it() {
      simulate(4, 3 * UNCONTENDED_MILLIS);
      assertThat(limiter.parallelLoads()).isEqualTo(4);
    }

    @Test
    void should_bound_parallel_loads_that_slow_one_another_down() {
      // GIVEN loads that start whenever the limiter allows them
      int maxRunning = simulate(2, 120_000);
      // THEN
      assertThat(maxRunning).isLessThanOrEqualTo(4);
    }

    /**
     * Guards against models that are never served since several loads at a time are slowed down,
     * and lost with their servers, to learn what the store serves at full speed.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4, 6, 12})
    void should_slow_down_at_most_half_as_many_loads_as_run_at_full_speed(int fullSpeedLoads) {
      // GIVEN
      StoreLoadLimiter learning = new StoreLoadLimiter(16, WINDOW_MILLIS);
      SimulatedWeightStore store = new SimulatedWeightStore(fullSpeedLoads, UNCONTENDED_MILLIS);
      Map<String, Long> endMillisByServer = new HashMap<>();
      int started = 0;
      int maxInFlight = 0;
      // WHEN loads begin whenever the limiter allows them
      for (long now = 0; now < 12 * UNCONTENDED_MILLIS; now += STEP_MILLIS) {
        for (String server : List.copyOf(endMillisByServer.keySet())) {
          if (now >= endMillisByServer.get(server)) {
            endMillisByServer.remove(server);
            learning.onDone(server, now);
          } else {
            learning.onProgress(server, now);
          }
        }
        for (int i = learning.allowedLoads(LOADS_PER_SECOND, now); i > 0; i--) {
          String server = "s" + started++;
          endMillisByServer.put(server, store.begin(now));
          learning.onStarted(server, "m", UNCONTENDED_MILLIS, now);
        }
        maxInFlight = Math.max(maxInFlight, endMillisByServer.size());
      }
      // THEN
      assertThat(maxInFlight).isBetween(fullSpeedLoads, fullSpeedLoads + fullSpeedLoads / 2);
    }

    @Test
    void should_expect_loads_to_take_longer_under_contention() {
      simulate(2, 120_000);
      limiter.onAllUntracked(120_000);
      long nowMillis = 120_000 + 100 * UNCONTENDED_MILLIS;
      int fullSpeedLoads = limiter.parallelLoads();
      for (int i = 1; i <= 2 * fullSpeedLoads; i++) {
        limiter.onStarted("s" + i, "m", UNCONTENDED_MILLIS, nowMillis);
      }
      assertThat(limiter.expectedMillis("s" + fullSpeedLoads)).isEqualTo(UNCONTENDED_MILLIS);
      assertThat(limiter.expectedMillis("s" + 2 * fullSpeedLoads))
          .isEqualTo(2 * UNCONTENDED_MILLIS);
    }
  }

  /**
   * Guards against a low estimate after a server has hung during a load, which says nothing about
   * the store.
   */
  @Nested
  class HangingServer {
    private static final String HANGING = "hanging";

    @Test
    void should_keep_the_estimate_while_a_load_does_not_end() {
      // GIVEN
      startTwoLoads();
      // WHEN one of them ends in time and the other one does not end
      limiter.onDone("fast", UNCONTENDED_MILLIS);
      for (long now = UNCONTENDED_MILLIS; now < 60_000; now += STEP_MILLIS) {
        limiter.onProgress(HANGING, now);
      }
      // THEN
      assertThat(limiter.parallelLoads()).isGreaterThanOrEqualTo(2);
    }

    @Test
    void should_keep_the_estimate_when_the_load_ends_much_too_late() {
      startTwoLoads();
      limiter.onDone("fast", UNCONTENDED_MILLIS);
      limiter.onDone(HANGING, 3 * UNCONTENDED_MILLIS);
      assertThat(limiter.parallelLoads()).isGreaterThanOrEqualTo(2);
    }

    /** A server whose reports do not arrive tells nothing of the store. */
    @Test
    void should_keep_the_estimate_when_the_end_of_a_load_is_seen_late() {
      startTwoLoads();
      limiter.onDone("fast", 15 * UNCONTENDED_MILLIS / 10);
      limiter.onDone(HANGING, 15 * UNCONTENDED_MILLIS / 10);
      assertThat(limiter.parallelLoads()).isEqualTo(2);
    }

    /** A server that is listed after a crash shows no progress, and its load no slow store. */
    @Test
    void should_keep_the_estimate_of_a_store_that_was_seen_at_full_speed_beside_the_load() {
      // GIVEN four loads at full speed
      simulate(4, 4 * UNCONTENDED_MILLIS);
      limiter.onAllUntracked(0);
      long startMillis = 10 * UNCONTENDED_MILLIS;
      for (int i = 0; i < 4; i++) {
        limiter.onStarted("later" + i, "m", UNCONTENDED_MILLIS, startMillis);
      }
      // WHEN one of the next four does not end
      for (long now = startMillis; now < startMillis + 60_000; now += STEP_MILLIS) {
        limiter.onProgress("later3", now);
      }
      // THEN
      assertThat(limiter.parallelLoads()).isEqualTo(4);
    }

    private void startTwoLoads() {
      limiter.onStarted(HANGING, "m", UNCONTENDED_MILLIS, 0);
      limiter.onStarted("fast", "m", UNCONTENDED_MILLIS, 0);
    }
  }

  /**
   * Guards against models that are never served since loads whose servers are gone were forgotten:
   * the store serves them on, slows down the loads that start beside them, and their length was
   * taken for that of a smaller store, which was then left idle.
   */
  @Nested
  class LostServers {
    private static final int FULL_SPEED_LOADS = 2;
    private static final long DAY_MILLIS = 20 * UNCONTENDED_MILLIS;

    @Test
    void should_count_a_load_whose_server_is_gone_until_the_store_has_served_it() {
      // GIVEN
      limiter.onStarted("s1", "m", UNCONTENDED_MILLIS, 0);
      limiter.onStarted("s2", "m", UNCONTENDED_MILLIS, 0);
      // WHEN
      limiter.onUntracked("s1", 1_000);
      // THEN
      assertThat(limiter.allowedLoads(LOADS_PER_SECOND, UNCONTENDED_MILLIS - 1)).isZero();
      limiter.onDone("s2", UNCONTENDED_MILLIS);
      assertThat(limiter.runningLoads(UNCONTENDED_MILLIS)).isZero();
    }

    @Test
    void should_expect_the_store_to_be_free_when_it_is_done_with_the_load_of_a_lost_server() {
      limiter.onStarted("s1", "m", UNCONTENDED_MILLIS, 0);
      limiter.onStarted("s2", "m", UNCONTENDED_MILLIS, 2_000);
      limiter.onUntracked("s1", 3_000);
      assertThat(limiter.nextFreeMillis(3_000)).isEqualTo(UNCONTENDED_MILLIS);
      assertThat(limiter.nextFreeMillis(UNCONTENDED_MILLIS)).isEqualTo(UNCONTENDED_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void should_neither_leave_the_store_idle_nor_forget_what_it_serves(long seed) {
      // GIVEN a store that sets the time of a load when it starts, and servers that are lost
      SimulatedStore store = new SimulatedStore(FULL_SPEED_LOADS);
      Random random = new Random(seed);
      long idleMillis = 0;
      // WHEN
      for (long now = 0; now < DAY_MILLIS; now += STEP_MILLIS) {
        store.advance(now, random);
        int allowed = limiter.allowedLoads(LOADS_PER_SECOND, now);
        for (int i = 0; i < allowed; i++) {
          store.start(now);
        }
        idleMillis += STEP_MILLIS * Math.max(0, FULL_SPEED_LOADS - store.inFlight(now));
      }
      // THEN the store is used at least nine tenths of the time, and at twice its capacity at most
      assertThat(idleMillis).isLessThan(FULL_SPEED_LOADS * DAY_MILLIS / 10);
      assertThat(store.maxInFlight()).isLessThanOrEqualTo(2 * FULL_SPEED_LOADS);
      assertThat(limiter.parallelLoads()).isGreaterThanOrEqualTo(FULL_SPEED_LOADS);
    }

    /** A store that sets the time of each load by the number of loads in flight at its start. */
    private final class SimulatedStore {
      private static final double LOSSES_PER_LOAD = 0.4;

      private final int fullSpeedLoads;
      private final Map<String, Long> endMillisByServer = new HashMap<>();
      private final Set<String> lostServers = new HashSet<>();
      private int started;
      private int maxInFlight;

      private SimulatedStore(int fullSpeedLoads) {
        this.fullSpeedLoads = fullSpeedLoads;
      }

      void start(long nowMillis) {
        String server = "s" + started++;
        int parallel = inFlight(nowMillis) + 1;
        double slowdown = Math.max(1, (double) parallel / fullSpeedLoads);
        endMillisByServer.put(server, nowMillis + (long) (UNCONTENDED_MILLIS * slowdown));
        maxInFlight = Math.max(maxInFlight, parallel);
        limiter.onStarted(server, "m", UNCONTENDED_MILLIS, nowMillis);
      }

      void advance(long nowMillis, Random random) {
        double lossesPerStep = LOSSES_PER_LOAD * STEP_MILLIS / UNCONTENDED_MILLIS;
        endMillisByServer.forEach(
            (server, endMillis) -> {
              if (lostServers.contains(server)) {
                return;
              }
              if (nowMillis >= endMillis) {
                limiter.onDone(server, nowMillis);
              } else if (random.nextDouble() < lossesPerStep) {
                lostServers.add(server);
                limiter.onUntracked(server, nowMillis);
              } else {
                limiter.onProgress(server, nowMillis);
              }
            });
        endMillisByServer.values().removeIf(endMillis -> nowMillis >= endMillis);
      }

      int inFlight(long nowMillis) {
        return (int) endMillisByServer.values().stream().filter(end -> nowMillis < end).count();
      }

      int maxInFlight() {
        return maxInFlight;
      }
    }
  }

  /** Guards against a high estimate after loads that did not come from the store. */
  @Nested
  class EarlyEnd {
    @Test
    void should_not_raise_the_estimate() {
      limiter.onStarted("s1", "m", UNCONTENDED_MILLIS, 0);
      limiter.onStarted("s2", "m", UNCONTENDED_MILLIS, 0);
      limiter.onDone("s1", 300);
      limiter.onDone("s2", 300);
      assertThat(limiter.parallelLoads()).isEqualTo(2);
    }
  }

  /** Guards against loads that count as longer than they are, as their servers refused them. */
  @Nested
  class LateAcceptance {
    @Test
    void should_count_a_load_from_its_acceptance() {
      // GIVEN
      limiter.onStarted("s1", "m", UNCONTENDED_MILLIS, 0);
      limiter.onAccepted("s1", 3_000);
      // WHEN
      limiter.onUntracked("s1", 4_000);
      // THEN
      assertThat(limiter.runningLoads(UNCONTENDED_MILLIS + 2_999)).isEqualTo(1);
      assertThat(limiter.runningLoads(UNCONTENDED_MILLIS + 3_000)).isZero();
    }
  }

  /** The holder of the order lease changes while loads are in flight. */
  @Nested
  class ChangeOfHolder {
    @Test
    void should_count_the_loads_of_the_holder_before() {
      // GIVEN
      limiter.onStarted("s1", "m", UNCONTENDED_MILLIS, 0);
      limiter.onStarted("s2", "m", UNCONTENDED_MILLIS, 0);
      StoreLoadLimiter next = new StoreLoadLimiter(4, WINDOW_MILLIS);
      // WHEN
      next.restore(limiter.state(1_000), 1_000);
      // THEN
      assertThat(next.allowedLoads(LOADS_PER_SECOND, 1_000)).isZero();
      assertThat(next.allowedLoads(LOADS_PER_SECOND, UNCONTENDED_MILLIS)).isEqualTo(2);
    }

    @Test
    void should_take_over_the_number_of_loads_that_were_seen_at_full_speed() {
      simulate(1, 120_000);
      StoreLoadLimiter next = new StoreLoadLimiter(4, WINDOW_MILLIS);
      next.restore(limiter.state(120_000), 120_000);
      assertThat(next.parallelLoads()).isEqualTo(1);
    }

    @Test
    void should_learn_nothing_from_a_load_beside_unknown_ones() {
      // GIVEN a server that is busy with what may be a load of the holder before
      limiter.onUnknownLoads(1, 0);
      limiter.onStarted("s1", "m", UNCONTENDED_MILLIS, 0);
      // WHEN
      limiter.onDone("s1", 2 * UNCONTENDED_MILLIS);
      // THEN
      assertThat(limiter.parallelLoads()).isEqualTo(2);
    }
  }

  /** Simulates a store and returns the highest number of parallel loads. */
  private int simulate(int fullSpeedLoads, long millis) {
    Map<String, Double> progressMillisByServer = new HashMap<>();
    int started = 0;
    int maxRunning = 0;
    for (long now = 0; now < millis; now += STEP_MILLIS) {
      int running = progressMillisByServer.size();
      double speed = Math.min(1, (double) fullSpeedLoads / Math.max(1, running));
      for (String server : List.copyOf(progressMillisByServer.keySet())) {
        double progressMillis =
            progressMillisByServer.merge(server, STEP_MILLIS * speed, Double::sum);
        if (progressMillis >= UNCONTENDED_MILLIS) {
          progressMillisByServer.remove(server);
          limiter.onDone(server, now);
        } else {
          limiter.onProgress(server, now);
        }
      }
      int allowed = limiter.allowedLoads(LOADS_PER_SECOND, now);
      for (int i = 0; i < allowed; i++) {
        String server = "s" + started++;
        limiter.onStarted(server, "m", UNCONTENDED_MILLIS, now);
        progressMillisByServer.put(server, 0.0);
      }
      maxRunning = Math.max(maxRunning, progressMillisByServer.size());
    }
    return maxRunning;
  }
}
