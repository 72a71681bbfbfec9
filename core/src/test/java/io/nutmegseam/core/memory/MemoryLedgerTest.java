package io.nutmegseam.core.memory;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.backend.Inventory;
import io.nutmegseam.core.backend.Inventory.Item;
import io.nutmegseam.core.backend.Inventory.ItemState;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MemoryLedgerTest {
  private static final long SETTLE_MILLIS = 100;

  @Nested
  class Reservations {
    @Test
    void should_refuse_a_unit_that_does_not_fit_beside_a_reserved_one() {
      // GIVEN
      MemoryLedger ledger = MemoryLedger.of(10).reserve("a", 6, 0).orElseThrow();
      // WHEN
      var second = ledger.reserve("b", 5, 0);
      // THEN
      assertThat(second).isEmpty();
    }

    @Test
    void should_free_the_memory_of_a_load_that_was_refused() {
      // GIVEN
      MemoryLedger ledger = MemoryLedger.of(10).reserve("a", 6, 0).orElseThrow();
      // WHEN
      MemoryLedger after = ledger.cancelReservation("a");
      // THEN
      assertThat(after.freeBytes()).isEqualTo(10);
    }

    @Test
    void
        should_keep_the_memory_of_a_load_whose_response_was_lost_until_the_settle_time_has_passed() {
      // GIVEN
      MemoryLedger ledger = MemoryLedger.of(10).reserve("a", 6, 1_000).orElseThrow();
      // WHEN
      MemoryLedger early = ledger.reconcile(inventory(), 1_099, SETTLE_MILLIS);
      MemoryLedger settled = ledger.reconcile(inventory(), 1_100, SETTLE_MILLIS);
      // THEN
      assertThat(early.freeBytes()).isEqualTo(4);
      assertThat(settled.freeBytes()).isEqualTo(10);
    }
  }

  @Nested
  class Unloads {
    @Test
    void should_keep_the_memory_of_an_unload_that_the_inventory_does_not_prove() {
      // GIVEN
      Item listed = new Item("a", ItemState.LOADED, 6);
      MemoryLedger ledger =
          MemoryLedger.of(10).reconcile(inventory(listed), 0, SETTLE_MILLIS).markUnloading("a", 0);
      // WHEN
      MemoryLedger after = ledger.reconcile(inventory(listed), 500, SETTLE_MILLIS);
      // THEN
      assertThat(after.freeBytes()).isEqualTo(4);
      assertThat(after.units(MemoryLedger.State.UNLOADING)).containsExactly("a");
    }
  }

  @Nested
  class Restarts {
    @Test
    void should_drop_loaded_units_that_a_restarted_engine_does_not_list() {
      // GIVEN
      MemoryLedger ledger =
          MemoryLedger.of(10)
              .reconcile(inventory(new Item("a", ItemState.LOADED, 6)), 0, SETTLE_MILLIS);
      // WHEN
      MemoryLedger after = ledger.reconcile(inventory(), 10, SETTLE_MILLIS);
      // THEN
      assertThat(after.entries()).isEmpty();
    }

    @Test
    void should_count_units_that_another_owner_loaded() {
      // GIVEN
      MemoryLedger ledger = MemoryLedger.of(10);
      // WHEN
      MemoryLedger after =
          ledger.reconcile(inventory(new Item("x", ItemState.LOADING, 7)), 0, SETTLE_MILLIS);
      // THEN
      assertThat(after.reserve("a", 4, 0)).isEmpty();
    }
  }

  private static Inventory inventory(Item... items) {
    return new Inventory("engine", 0, false, List.of(items), Set.of());
  }
}
