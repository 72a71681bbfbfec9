package io.nutmegseam.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Loads from a weight store whose servers may crash or leave before the load ends. */
class LostStoreLoadTest {
  private static final double LOADS_PER_SECOND = 38;
  private static final long WINDOW_MILLIS = 5_000;
  private static final long UNCONTENDED_MILLIS = 10_200;
  private static final int FULL_SPEED_LOADS = 2;
  private static final int MAX_PARALLEL_LOADS = 4;
  private static final int ROUNDS = 7;

  /** Time until a report shows that a load has ended, so that the next one may begin. */
  private static final long REPORT_LAG_MILLIS = 500;

  private static final long DAY_MILLIS = ROUNDS * (UNCONTENDED_MILLIS + REPORT_LAG_MILLIS);
  private static final long TICK_MILLIS = 50;

  /** Share of the requested models that may stay without service, and a constant. */
  private static final double MAX_NEVER_SERVED_SHARE = 0.1;

  private static final int MAX_NEVER_SERVED_OFFSET = 1;

  /** An idle place of the store is a model that it does not serve. */
  private static final double MAX_IDLE_SHARE = MAX_NEVER_SERVED_SHARE;

  /** Models without a copy on any server, all of which are requested all day. */
  @Nested
  class RequestedModelsWithoutCopy {
    /** Guards against requested models that are never served although the store can carry them. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void should_serve_nearly_all_models_beside_crashes(long seed) {
      // GIVEN one model for each load that the store carries at full speed and no crash aborts
      Day day = Day.withCrashes(seed, MAX_PARALLEL_LOADS);
      int models = FULL_SPEED_LOADS * ROUNDS - day.crashTimesMillis.size();
      day.request(models);
      // WHEN
      day.run();
      // THEN
      assertThat(models - day.served)
          .as("never served of %d models, store loads %s", models, day.journal)
          .isLessThanOrEqualTo((int) (MAX_NEVER_SERVED_OFFSET + MAX_NEVER_SERVED_SHARE * models));
    }

    /** Guards against an idle store while models are requested that no server has. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void should_keep_the_store_busy_beside_crashes(long seed) {
      assertStoreIsBusy(Day.withCrashes(seed, MAX_PARALLEL_LOADS));
    }

    /** Guards against an estimate that is lowered by loads of lost servers. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void should_keep_the_store_busy_beside_crashes_without_excess_loads(long seed) {
      assertStoreIsBusy(Day.withCrashes(seed, FULL_SPEED_LOADS));
    }

    /** Guards against an idle store after more parallel loads than it serves at full speed. */
    @Test
    void should_keep_the_store_busy_after_loads_have_slowed_one_another_down() {
      assertStoreIsBusy(Day.withoutCrashes(MAX_PARALLEL_LOADS));
    }

    private void assertStoreIsBusy(Day day) {
      // GIVEN more models than the store can carry
      day.request(2 * FULL_SPEED_LOADS * ROUNDS);
      // WHEN
      day.run();
      // THEN
      assertThat((double) day.idlePlaceMillis / (FULL_SPEED_LOADS * DAY_MILLIS))
          .as("idle share of the store, store loads %s", day.journal)
          .isLessThanOrEqualTo(MAX_IDLE_SHARE);
    }
  }

  /** A load on a server. The fleet lists a server with its load until the server is lost. */
  private record Load(int model, long startMillis, long endMillis) {
    String server() {
      return "s" + model + "@" + startMillis;
    }
  }

  /** Simulates the loads of a day. Each crash hits the server of one load in flight. */
  private static final class Day {
    private static final long MEAN_CRASH_INTERVAL_MILLIS = 15_000;

    private final StoreLoadLimiter limiter;
    private final SimulatedWeightStore store =
        new SimulatedWeightStore(FULL_SPEED_LOADS, UNCONTENDED_MILLIS);
    private final SplittableRandom random;
    private final Deque<Long> crashTimesMillis = new ArrayDeque<>();
    private final Deque<Integer> requestedModels = new ArrayDeque<>();
    private final List<Load> listed = new ArrayList<>();
    private final List<String> journal = new ArrayList<>();
    private int served;
    private long idlePlaceMillis;

    private Day(SplittableRandom random, int maxParallelLoads) {
      this.random = random;
      this.limiter = new StoreLoadLimiter(maxParallelLoads, WINDOW_MILLIS);
    }

    private static Day withoutCrashes(int maxParallelLoads) {
      return new Day(new SplittableRandom(0), maxParallelLoads);
    }

    private static Day withCrashes(long seed, int maxParallelLoads) {
      Day day = new Day(new SplittableRandom(seed), maxParallelLoads);
      long crashMillis = day.crashIntervalMillis();
      // A model whose load is lost in the last round cannot be loaded again before the end.
      while (crashMillis < DAY_MILLIS - UNCONTENDED_MILLIS) {
        day.crashTimesMillis.addLast(crashMillis);
        crashMillis += day.crashIntervalMillis();
      }
      return day;
    }

    private long crashIntervalMillis() {
      return Math.round(-Math.log(1 - random.nextDouble()) * MEAN_CRASH_INTERVAL_MILLIS);
    }

    private void request(int models) {
      for (int model = 0; model < models; model++) {
        requestedModels.addLast(model);
      }
    }

    private void run() {
      for (long nowMillis = 0; nowMillis < DAY_MILLIS; nowMillis += TICK_MILLIS) {
        crash(nowMillis);
        observe(nowMillis);
        start(nowMillis);
        if (!requestedModels.isEmpty()) {
          int idlePlaces = Math.max(0, FULL_SPEED_LOADS - store.inFlight(nowMillis));
          idlePlaceMillis += idlePlaces * TICK_MILLIS;
        }
      }
      // Weights that have arrived serve their model, whether or not a report has shown them.
      served += (int) listed.stream().filter(load -> load.endMillis() <= DAY_MILLIS).count();
    }

    /** Removes the server of one load in flight from the fleet at each crash. */
    private void crash(long nowMillis) {
      while (!crashTimesMillis.isEmpty() && crashTimesMillis.peekFirst() <= nowMillis) {
        crashTimesMillis.pollFirst();
        List<Load> inFlight = listed.stream().filter(load -> load.endMillis() > nowMillis).toList();
        if (!inFlight.isEmpty()) {
          Load lost = inFlight.get(random.nextInt(inFlight.size()));
          listed.remove(lost);
          limiter.onUntracked(lost.server(), nowMillis);
          requestedModels.addFirst(lost.model());
          journal.add("%d lost at %d ms".formatted(lost.model(), nowMillis));
        }
      }
    }

    private void observe(long nowMillis) {
      for (Load load : List.copyOf(listed)) {
        if (load.endMillis() + REPORT_LAG_MILLIS - TICK_MILLIS <= nowMillis) {
          listed.remove(load);
          served++;
          limiter.onDone(load.server(), nowMillis);
        } else {
          limiter.onProgress(load.server(), nowMillis);
        }
      }
    }

    private void start(long nowMillis) {
      int allowed = limiter.allowedLoads(LOADS_PER_SECOND, nowMillis);
      for (int i = 0; i < allowed && !requestedModels.isEmpty(); i++) {
        Load load = new Load(requestedModels.pollFirst(), nowMillis, store.begin(nowMillis));
        limiter.onStarted(load.server(), "m", UNCONTENDED_MILLIS, nowMillis);
        listed.add(load);
        journal.add(
            "%d from %d ms for %d ms"
                .formatted(load.model(), nowMillis, load.endMillis() - nowMillis));
      }
    }
  }
}
