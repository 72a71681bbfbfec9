package io.nutmegseam.core.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.backend.Inventory;
import io.nutmegseam.core.backend.Inventory.Item;
import io.nutmegseam.core.backend.Inventory.ItemState;
import io.nutmegseam.core.coldstart.LoadScheduler.Wanted;
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
  class Order {
    @Test
    void should_load_interactive_before_batch_and_then_by_deadline() {
      // GIVEN
      Demand batch = demand("batch", false, NOW_MILLIS + 1_000, NOW_MILLIS);
      Demand late = demand("late", true, NOW_MILLIS + 9_000, NOW_MILLIS);
      Demand soon = demand("soon", true, NOW_MILLIS + 5_000, NOW_MILLIS);
      // WHEN
      var loads =
          scheduler(30)
              .wantedLoads(
                  List.of(wanted(batch, 1), wanted(late, 1), wanted(soon, 1)),
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
      Wanted hopeless = new Wanted(demand("m", true, NOW_MILLIS + 500, NOW_MILLIS), 1, 501, "");
      // WHEN
      var loads = scheduler(30).wantedLoads(List.of(hopeless), MemoryLedger.of(100), NOW_MILLIS);
      // THEN
      assertThat(loads).isEmpty();
    }

    @Test
    void should_not_load_an_adapter_before_its_model() {
      // GIVEN
      Wanted adapter = new Wanted(demand("a", true, NOW_MILLIS + 9_000, NOW_MILLIS), 1, 1, "m");
      // WHEN
      var loads = scheduler(30).wantedLoads(List.of(adapter), MemoryLedger.of(100), NOW_MILLIS);
      // THEN
      assertThat(loads).isEmpty();
    }
  }

  @Nested
  class Room {
    private final MemoryLedger full = loaded("rare", "frequent");

    @Test
    void should_unload_the_unit_with_the_lowest_expected_saving() {
      // GIVEN
      Map<String, UnitUse> uses = Map.of("rare", use(0, 0.001), "frequent", use(0, 0.5));
      // WHEN
      var unloads = scheduler(30).makeRoom(wantedNow(0), full, uses, Set.of("m"), NOW_MILLIS);
      // THEN
      assertThat(unloads).extracting(OwnerDecision.Unload::unit).containsExactly("rare");
    }

    @Test
    void should_not_unload_running_units_for_a_request_that_has_just_come() {
      // GIVEN
      Map<String, UnitUse> uses = Map.of("rare", use(1, 0.001), "frequent", use(1, 0.5));
      // WHEN
      var unloads = scheduler(30).makeRoom(wantedNow(0), full, uses, Set.of("m"), NOW_MILLIS);
      // THEN
      assertThat(unloads).isEmpty();
    }

    @Test
    void should_drain_a_running_unit_for_a_request_that_has_waited_long() {
      // GIVEN
      Map<String, UnitUse> uses = Map.of("rare", use(1, 0.001), "frequent", use(1, 0.5));
      // WHEN
      var unloads =
          scheduler(30)
              .makeRoom(wantedNow(STARVATION_MILLIS + 1), full, uses, Set.of("m"), NOW_MILLIS);
      // THEN
      assertThat(unloads).extracting(OwnerDecision.Unload::unit).containsExactly("rare");
    }

    private Wanted wantedNow(long waitedMillis) {
      return wanted(demand("m", true, NOW_MILLIS + 20_000, NOW_MILLIS - waitedMillis), 40);
    }
  }

  @Nested
  class Idle {
    @Test
    void should_keep_an_idle_unit_longer_if_cold_starts_weigh_more() {
      // GIVEN
      Map<String, UnitUse> uses = Map.of("m", use(0, 0.01));
      // WHEN
      var thrifty = scheduler(10).idleUnloads(loaded("m"), uses, Set.of(), NOW_MILLIS);
      var quick = scheduler(100).idleUnloads(loaded("m"), uses, Set.of(), NOW_MILLIS);
      // THEN
      assertThat(thrifty).hasSize(1);
      assertThat(quick).isEmpty();
    }
  }

  @Nested
  class Budget {
    private final StoreBudget.Limits two = new StoreBudget.Limits(2, 1, 1_000);

    @Test
    void should_grant_no_more_than_the_limit_most_urgent_first() {
      // GIVEN
      StoreBudget budget =
          StoreBudget.empty()
              .ask(request("late", 900))
              .ask(request("soon", 100))
              .ask(request("next", 200));
      // WHEN
      StoreBudget.Step step = budget.grant(two, 0);
      // THEN
      assertThat(step.grants()).extracting(StoreBudget.Request::id).containsExactly("soon", "next");
    }

    @Test
    void should_grant_again_what_is_given_back_or_has_expired() {
      // GIVEN
      StoreBudget busy =
          StoreBudget.empty()
              .ask(request("a", 1))
              .ask(request("b", 2))
              .grant(two, 0)
              .next()
              .ask(request("c", 3))
              .ask(request("d", 4));
      // WHEN
      StoreBudget.Step released = busy.release("a").grant(two, 10);
      StoreBudget.Step expired = busy.grant(two, 999).next().grant(two, 1_000);
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
        LoadOrder.deadline(),
        EvictionPolicy.reuseCost(),
        idleSecondsPerColdStartSecond,
        true,
        STARVATION_MILLIS);
  }

  private static Demand demand(
      String unit, boolean interactive, long deadlineMillis, long raisedAtMillis) {
    return new Demand(unit, 1, interactive, deadlineMillis, deadlineMillis, raisedAtMillis);
  }

  private static Wanted wanted(Demand demand, long memoryBytes) {
    return new Wanted(demand, memoryBytes, 100, "");
  }

  private static UnitUse use(int running, double ratePerSecond) {
    return new UnitUse(running, ratePerSecond, NOW_MILLIS - 50_000, 0, 2_000, 0.5);
  }

  private static MemoryLedger loaded(String... units) {
    List<Item> items =
        java.util.Arrays.stream(units).map(unit -> new Item(unit, ItemState.LOADED, 50)).toList();
    return MemoryLedger.of(100).settle(new Inventory("e", 0, false, items, Set.of()), 0, 1);
  }
}
