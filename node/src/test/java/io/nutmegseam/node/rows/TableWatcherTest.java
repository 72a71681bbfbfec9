package io.nutmegseam.node.rows;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.StorePosition;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TableWatcherTest extends TableWatcherFixture {
  @Nested
  class Reading {
    @Test
    void should_read_the_full_table_first_and_then_its_changes() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      store.addResult(result(9, "b"));
      // WHEN
      run(TIMING.pauseMillis());
      // THEN
      assertThat(applied).extracting(TableUpdate::full).containsExactly(true, false);
      assertThat(applied.get(1).afterVersion()).isEqualTo(7);
      assertThat(forwarded).hasSize(2);
    }

    @Test
    void should_read_the_full_table_again_if_its_change_history_is_unavailable() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      store.addMissingHistory();
      run(TIMING.pauseMillis());
      store.addResult(result(30, "b"));
      // WHEN
      watcher.tick();
      // THEN
      assertThat(applied).extracting(TableUpdate::full).containsExactly(true, true);
    }

    // Guards against a server that is used by an entry that another writer has overwritten.
    @Test
    void should_drop_a_row_that_is_overwritten_by_one_that_cannot_be_decoded() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      store.addResult(new RowStore.ReadResult(List.of(new Row("a", UNREADABLE, 8)), List.of(), 8));
      // WHEN
      run(TIMING.pauseMillis());
      // THEN
      assertThat(applied.get(1).items()).isEmpty();
      assertThat(applied.get(1).removedKeys()).containsExactly("a");
      assertThat(forwarded.get(1).removedKeys()).containsExactly("a");
    }

    /**
     * Guards against frequent reads of a store that is down, since each refused call has a cost.
     */
    @Test
    void should_back_off_while_the_store_is_down() {
      // GIVEN a store that refuses all calls
      long outageMillis = 10_000;
      // WHEN
      run(outageMillis);
      // THEN it is called at most twice per longest retry time, apart from the first retries
      assertThat(store.calls())
          .isLessThanOrEqualTo((int) (outageMillis / MAX_RETRY_MILLIS) * 2 + 6);
      assertThat(watcher.isStoreUnavailable()).isTrue();
    }

    /** Guards against a long wait for the next retry although the store has recovered. */
    @Test
    void should_retry_at_the_next_tick_after_another_table_was_read() {
      // GIVEN
      run(10_000);
      int callsBefore = store.calls();
      store.addResult(result(7, "a"));
      // WHEN
      watcher.retryAtNextTick();
      watcher.tick();
      // THEN
      assertThat(store.calls()).isEqualTo(callsBefore + 1);
      assertThat(watcher.isStoreUnavailable()).isFalse();
    }

    @Test
    void should_measure_the_settle_time_from_the_recovery_of_the_store() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      run(TIMING.pauseMillis());
      store.addResult(result(8, "b"));
      store.addResult(result(9, "c"));
      // WHEN
      run(MAX_RETRY_MILLIS);
      // THEN
      assertThat(applied.get(2).unsettledMillis()).isLessThan(applied.get(1).unsettledMillis());
    }

    @Test
    void should_report_after_an_outage_that_lapsed_rows_may_return() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      run(TIMING.pauseMillis());
      // WHEN
      store.addResult(result(8, "b"));
      run(MAX_RETRY_MILLIS);
      // THEN
      assertThat(applied.get(0).unsettledMillis()).isZero();
      assertThat(applied.get(1).unsettledMillis()).isEqualTo(TableWatcher.SETTLE_MILLIS);
    }
  }

  @Nested
  class Following {
    @Test
    void should_not_read_while_a_followed_node_sends_updates() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      int callsBefore = store.calls();
      // WHEN
      for (int version = 8; version < 28; version++) {
        watcher.onUpdate(update(version - 1, version, 0), true);
        run(TIMING.pauseMillis());
      }
      // THEN
      assertThat(store.calls()).isEqualTo(callsBefore);
      assertThat(applied).hasSize(21);
      assertThat(forwarded).hasSize(1);
    }

    /**
     * Guards against rows that are kept after their removal since the path of another node to the
     * store was down, though this node has read the store all along.
     */
    @Test
    void should_not_wait_for_rows_to_return_after_an_outage_that_only_the_sender_saw() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      // WHEN
      watcher.onUpdate(removal(5, 9), false);
      // THEN
      assertThat(applied.get(1).removedKeys()).containsExactly("a");
      assertThat(applied.get(1).unsettledMillis()).isZero();
    }

    /** Guards against a time to settle that begins anew with each update of its sender. */
    @Test
    void should_wait_for_rows_to_return_after_an_outage_that_this_node_saw_too() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      run(2 * TIMING.maxUpdateAgeMillis());
      // WHEN
      watcher.onUpdate(removal(7, 9), true);
      clock.nowMillis += 500;
      watcher.onUpdate(removal(9, 10), true);
      // THEN
      assertThat(applied.get(1).unsettledMillis()).isEqualTo(TableWatcher.SETTLE_MILLIS);
      assertThat(applied.get(2).unsettledMillis()).isEqualTo(TableWatcher.SETTLE_MILLIS - 500);
    }

    /** Returns an update of a node whose reads have just succeeded again. */
    private static TableUpdate<Row> removal(long after, long version) {
      return new TableUpdate<>(
          List.of(), List.of("a"), after, version, false, 0, TableWatcher.SETTLE_MILLIS);
    }

    @Test
    void should_read_once_the_followed_node_stops_sending_updates() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      watcher.onUpdate(update(7, 8, 0), true);
      int callsBefore = store.calls();
      store.addResult(result(9, "b"));
      // WHEN
      run(TIMING.maxUpdateAgeMillis());
      // THEN
      assertThat(store.calls()).isEqualTo(callsBefore + 1);
      assertThat(applied.get(2).version()).isEqualTo(9);
    }

    @Test
    void should_read_at_the_next_tick_after_the_followed_node_is_disconnected() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      watcher.onUpdate(update(7, 8, 0), true);
      store.addResult(result(9, "b"));
      // WHEN
      watcher.readAtNextTick();
      watcher.tick();
      // THEN
      assertThat(applied.get(2).version()).isEqualTo(9);
    }

    @Test
    void should_subtract_the_age_of_an_update_from_the_time_that_it_replaces_reads() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      int callsBefore = store.calls();
      store.addResult(result(9, "b"));
      // WHEN an update arrives whose age has reached the limit
      watcher.onUpdate(update(7, 8, TIMING.maxUpdateAgeMillis()), true);
      run(TIMING.pauseMillis());
      // THEN
      assertThat(store.calls()).isEqualTo(callsBefore + 1);
    }

    @Test
    void should_read_at_the_next_tick_if_an_update_leaves_a_gap() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      store.addResult(result(12, "b"));
      // WHEN
      watcher.onUpdate(update(10, 11, 0), true);
      watcher.tick();
      // THEN
      assertThat(applied).extracting(TableUpdate::version).containsExactly(7L, 12L);
      assertThat(applied.get(1).afterVersion()).isEqualTo(7);
    }

    @Test
    void should_ignore_an_update_that_is_older_than_the_known_version() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      // WHEN
      watcher.onUpdate(update(3, 6, 0), true);
      // THEN
      assertThat(applied).hasSize(1);
    }

    @Test
    void should_apply_an_update_of_a_node_that_is_not_followed_and_keep_reading() {
      // GIVEN
      store.addResult(result(7, "a"));
      watcher.tick();
      int callsBefore = store.calls();
      store.addResult(result(8, "b"));
      // WHEN
      watcher.onUpdate(update(7, 8, 0), false);
      run(TIMING.pauseMillis());
      // THEN
      assertThat(applied.get(1).version()).isEqualTo(8);
      assertThat(store.calls()).isEqualTo(callsBefore + 1);
    }

    @Test
    void should_discard_a_read_result_that_is_older_than_a_received_update() {
      // GIVEN a read whose result is delayed
      store.addResult(result(7, "a"));
      watcher.tick();
      CompletableFuture<Optional<RowStore.ReadResult>> delayed = store.addPendingResult();
      run(TIMING.pauseMillis());
      watcher.onUpdate(update(7, 20, 0), true);
      // WHEN
      delayed.complete(Optional.of(result(15, "old")));
      // THEN
      assertThat(applied).extracting(TableUpdate::version).containsExactly(7L, 20L);
    }
  }

  /**
   * The store is away for a moment and returns from an older copy. Its versions go back and are
   * given out again, so that old and new rows would be mixed.
   */
  @Nested
  class RestoredStore {
    private static final long NEW_ERA = 1;

    @Test
    void should_apply_the_full_table_of_a_new_era_although_its_version_is_lower() {
      // GIVEN
      store.addResult(result(70, "a"));
      watcher.tick();
      store.addMissingHistory();
      run(TIMING.pauseMillis());
      store.addResult(result(StorePosition.of(NEW_ERA, 20), "b"));
      // WHEN
      watcher.tick();
      // THEN
      assertThat(applied).extracting(TableUpdate::full).containsExactly(true, true);
      assertThat(applied.get(1).items()).extracting(Row::key).containsExactly("b");
    }

    @Test
    void should_report_that_missing_rows_may_return_although_no_read_failed() {
      store.addResult(result(70, "a"));
      watcher.tick();
      store.addMissingHistory();
      run(TIMING.pauseMillis());
      store.addResult(result(StorePosition.of(NEW_ERA, 20), "b"));
      watcher.tick();
      assertThat(applied.get(1).unsettledMillis()).isEqualTo(TableWatcher.SETTLE_MILLIS);
    }

    @Test
    void should_ignore_an_update_of_an_earlier_era() {
      // GIVEN
      store.addResult(result(StorePosition.of(NEW_ERA, 20), "b"));
      watcher.tick();
      // WHEN
      watcher.onUpdate(update(60, 70, 0), true);
      // THEN
      assertThat(applied).hasSize(1);
    }

    @Test
    void should_not_apply_changes_of_a_new_era_to_the_rows_of_an_earlier_one() {
      // GIVEN a table that another node has read in the new era; the update with all rows was lost
      store.addResult(result(70, "a"));
      watcher.tick();
      store.addMissingHistory();
      store.addResult(result(StorePosition.of(NEW_ERA, 22), "b"));
      // WHEN
      watcher.onUpdate(update(0, StorePosition.of(NEW_ERA, 21), 0), true);
      watcher.tick();
      watcher.tick();
      // THEN
      assertThat(applied).extracting(TableUpdate::full).containsExactly(true, true);
    }

    @Test
    void should_apply_a_full_update_of_a_new_era_without_a_read_of_its_own() {
      store.addResult(result(70, "a"));
      watcher.tick();
      int callsBefore = store.calls();
      watcher.onUpdate(fullUpdate(StorePosition.of(NEW_ERA, 20)), true);
      run(TIMING.pauseMillis());
      assertThat(applied).hasSize(2);
      assertThat(store.calls()).isEqualTo(callsBefore);
    }

    private TableUpdate<Row> fullUpdate(long version) {
      return new TableUpdate<>(
          List.of(new Row("n", "{}", version)), List.of(), 0, version, true, 0, 0);
    }
  }
}
