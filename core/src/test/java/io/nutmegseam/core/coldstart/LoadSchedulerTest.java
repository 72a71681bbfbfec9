package io.nutmegseam.core.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.backend.Inventory;
import io.nutmegseam.core.backend.Inventory.Item;
import io.nutmegseam.core.backend.Inventory.ItemState;
import io.nutmegseam.core.coldstart.LoadScheduler.LoadCandidate;
import io.nutmegseam.core.memory.MemoryLedger;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadSchedulerTest {
  private static final long NOW_MILLIS = 100_000;
  private static final long STARVATION_MILLIS = 4_000;

  @Nested
  class Loads {
    @Test
    void should_load_interactive_before_batch_and_then_by_deadline() {
      // GIVEN
      Demand batch = demand("batch", false, NOW_MILLIS + 1_000, NOW_MILLIS);
      Demand late = demand("late", true, NOW_MILLIS + 9_000, NOW_MILLIS);
      Demand soon = demand("soon", true, NOW_MILLIS + 5_000, NOW_MILLIS);
      // WHEN
      var loads =
          scheduler(30)
              .selectLoads(
                  List.of(candidate(batch, 1), candidate(late, 1), candidate(soon, 1)),
                  MemoryLedger.of(100),
                  NOW_MILLIS);
      // THEN
      assertThat(loads)
          .extracting(load -> load.demand().unit())
          .containsExactly("soon", "late", "batch");
    }

    @Test
    void should_not_start_a_load_that_no_waiting_request_can_use_in_time() {
      // GIVEN
      LoadCandidate tooLate =
          new LoadCandidate(demand("m", true, NOW_MILLIS + 500, NOW_MILLIS), 1, 501, "");
      // WHEN
      var loads = scheduler(30).selectLoads(List.of(tooLate), MemoryLedger.of(100), NOW_MILLIS);
      // THEN
      assertThat(loads).isEmpty();
    }

    @Test
    void should_not_load_an_adapter_before_its_model() {
      // GIVEN
      LoadCandidate adapter =
          new LoadCandidate(demand("a", true, NOW_MILLIS + 9_000, NOW_MILLIS), 1, 1, "m");
      // WHEN
      var loads = scheduler(30).selectLoads(List.of(adapter), MemoryLedger.of(100), NOW_MILLIS);
      // THEN
      assertThat(loads).isEmpty();
    }
  }

  @Nested
  class Evictions {
    private final MemoryLedger full = loaded("rare", "frequent");

    @Test
    void should_unload_the_unit_with_the_lowest_expected_saving() {
      // GIVEN
      Map<String, UnitUsage> usages = Map.of("rare", usage(0, 0.001), "frequent", usage(0, 0.5));
      // WHEN
      var unloads =
          scheduler(30)
              .selectEvictions(candidateWaitingFor(0), full, usages, Set.of("m"), NOW_MILLIS);
      // THEN
      assertThat(unloads).extracting(SchedulingDecision.Unload::unit).containsExactly("rare");
    }

    @Test
    void should_not_unload_running_units_for_a_request_that_has_just_arrived() {
      // GIVEN
      Map<String, UnitUsage> usages = Map.of("rare", usage(1, 0.001), "frequent", usage(1, 0.5));
      // WHEN
      var unloads =
          scheduler(30)
              .selectEvictions(candidateWaitingFor(0), full, usages, Set.of("m"), NOW_MILLIS);
      // THEN
      assertThat(unloads).isEmpty();
    }

    @Test
    void should_drain_a_running_unit_for_a_request_that_has_waited_long() {
      // GIVEN
      Map<String, UnitUsage> usages = Map.of("rare", usage(1, 0.001), "frequent", usage(1, 0.5));
      // WHEN
      var unloads =
          scheduler(30)
              .selectEvictions(
                  candidateWaitingFor(STARVATION_MILLIS + 1),
                  full,
                  usages,
                  Set.of("m"),
                  NOW_MILLIS);
      // THEN
      assertThat(unloads).extracting(SchedulingDecision.Unload::unit).containsExactly("rare");
    }

    private LoadCandidate candidateWaitingFor(long waitedMillis) {
      return candidate(demand("m", true, NOW_MILLIS + 20_000, NOW_MILLIS - waitedMillis), 40);
    }
  }

  @Nested
  class IdleUnloads {
    @Test
    void should_keep_an_idle_unit_longer_if_cold_starts_weigh_more() {
      // GIVEN
      Map<String, UnitUsage> usages = Map.of("m", usage(0, 0.01));
      // WHEN
      var lowWeight = scheduler(10).selectIdleUnloads(loaded("m"), usages, Set.of(), NOW_MILLIS);
      var highWeight = scheduler(100).selectIdleUnloads(loaded("m"), usages, Set.of(), NOW_MILLIS);
      // THEN
      assertThat(lowWeight).hasSize(1);
      assertThat(highWeight).isEmpty();
    }
  }

  @Nested
  class Budget {
    private final StoreBudget.Limits twoModels = new StoreBudget.Limits(2, 1, 1_000);

    @Test
    void should_grant_no_more_than_the_limit_most_urgent_first() {
      // GIVEN
      StoreBudget budget =
          StoreBudget.empty()
              .addRequest(request("late", 900))
              .addRequest(request("soon", 100))
              .addRequest(request("next", 200));
      // WHEN
      StoreBudget.GrantResult result = budget.grant(twoModels, 0);
      // THEN
      assertThat(result.grants())
          .extracting(StoreBudget.Request::id)
          .containsExactly("soon", "next");
    }

    @Test
    void should_reuse_a_permit_that_was_released_or_has_expired() {
      // GIVEN
      StoreBudget busy =
          StoreBudget.empty()
              .addRequest(request("a", 1))
              .addRequest(request("b", 2))
              .grant(twoModels, 0)
              .next()
              .addRequest(request("c", 3))
              .addRequest(request("d", 4));
      // WHEN
      StoreBudget.GrantResult released = busy.release("a").grant(twoModels, 10);
      StoreBudget.GrantResult expired = busy.grant(twoModels, 999).next().grant(twoModels, 1_000);
      // THEN
      assertThat(released.grants()).extracting(StoreBudget.Request::id).containsExactly("c");
      assertThat(expired.next().grantedCount()).isLessThanOrEqualTo(2);
    }

    private StoreBudget.Request request(String id, long deadlineMillis) {
      return new StoreBudget.Request(id, "n", false, true, deadlineMillis, 0);
    }
  }

  private static LoadScheduler scheduler(double idleSecondsPerColdStartSecond) {
    return new LoadScheduler(
        LoadOrderPolicy.deadline(),
        EvictionPolicy.reuseCost(),
        idleSecondsPerColdStartSecond,
        true,
        STARVATION_MILLIS);
  }

  private static Demand demand(
      String unit, boolean interactive, long deadlineMillis, long waitingSinceMillis) {
    return new Demand(unit, 1, interactive, deadlineMillis, deadlineMillis, waitingSinceMillis);
  }

  private static LoadCandidate candidate(Demand demand, long memoryBytes) {
    return new LoadCandidate(demand, memoryBytes, 100, "");
  }

  private static UnitUsage usage(int running, double ratePerSecond) {
    return new UnitUsage(running, ratePerSecond, NOW_MILLIS - 50_000, 0, 2_000, 0.5);
  }

  private static MemoryLedger loaded(String... units) {
    List<Item> items =
        java.util.Arrays.stream(units).map(unit -> new Item(unit, ItemState.LOADED, 50)).toList();
    return MemoryLedger.of(100).reconcile(new Inventory("e", 0, false, items, Set.of()), 0, 1);
  }
}
