package io.nutmegseam.node.rows;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.platform.Row;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TableWatcherTest {
  private static final TableWatcher.PollTiming PACE = new TableWatcher.PollTiming(0, 500, 1_200);
  private static final long MAX_RETRY_MILLIS = 2_000;

  private final ManualClock clock = new ManualClock();
  private final ScriptedStore table = new ScriptedStore();
  private final List<TableUpdate<Row>> taken = new ArrayList<>();
  private final List<TableUpdate<Row>> passedOn = new ArrayList<>();
  private final TableWatcher<Row> watch =
      new TableWatcher<>(
          new TableWatcher.Source(table, "t"),
          PACE,
          Optional::of,
          batch -> {
            taken.add(batch);
            return batch;
          },
          (name, batch) -> passedOn.add(batch),
          new TableWatcher.Context(
              Runnable::run, clock, (kind, subject, detail) -> {}, new Random(1)));

  @Nested
  class Reading {
    @Test
    void should_read_the_full_table_first_and_then_its_changes() {
      // GIVEN
      table.addResult(page(7, "a"));
      watch.tick();
      table.addResult(page(9, "b"));
      // WHEN
      run(PACE.pauseMillis());
      // THEN
      assertThat(taken).extracting(TableUpdate::full).containsExactly(true, false);
      assertThat(taken.get(1).afterVersion()).isEqualTo(7);
      assertThat(passedOn).hasSize(2);
    }

    @Test
    void should_read_the_full_table_again_if_its_change_history_is_unavailable() {
      // GIVEN
      table.addResult(page(7, "a"));
      watch.tick();
      table.addMissingHistory();
      run(PACE.pauseMillis());
      table.addResult(page(30, "b"));
      // WHEN
      watch.tick();
      // THEN
      assertThat(taken).extracting(TableUpdate::full).containsExactly(true, true);
    }

    /** Pattern: the store is down, and each refused call has its price. */
    @Test
    void should_back_off_while_the_store_is_down() {
      // GIVEN a store that refuses all calls
      long outageMillis = 10_000;
      // WHEN
      run(outageMillis);
      // THEN it is asked at most twice in the longest pause, but for the first tries
      assertThat(table.calls).isLessThanOrEqualTo((int) (outageMillis / MAX_RETRY_MILLIS) * 2 + 6);
      assertThat(watch.isStoreUnavailable()).isTrue();
    }

    /** Pattern: the store returns while the watch waits long before its next try. */
    @Test
    void should_retry_at_the_next_tick_after_another_table_was_read() {
      // GIVEN
      run(10_000);
      int before = table.calls;
      table.addResult(page(7, "a"));
      // WHEN
      watch.retryAtNextTick();
      watch.tick();
      // THEN
      assertThat(table.calls).isEqualTo(before + 1);
      assertThat(watch.isStoreUnavailable()).isFalse();
    }

    @Test
    void should_measure_the_settle_time_from_the_recovery_of_the_store() {
      // GIVEN
      table.addResult(page(7, "a"));
      watch.tick();
      run(PACE.pauseMillis());
      table.addResult(page(8, "b"));
      table.addResult(page(9, "c"));
      // WHEN
      run(MAX_RETRY_MILLIS);
      // THEN
      assertThat(taken.get(2).unsettledMillis()).isLessThan(taken.get(1).unsettledMillis());
    }

    @Test
    void should_report_after_an_outage_that_lapsed_rows_may_return() {
      // GIVEN
      table.addResult(page(7, "a"));
      watch.tick();
      run(PACE.pauseMillis());
      // WHEN
      table.addResult(page(8, "b"));
      run(MAX_RETRY_MILLIS);
      // THEN
      assertThat(taken.get(0).unsettledMillis()).isZero();
      assertThat(taken.get(1).unsettledMillis()).isEqualTo(TableWatcher.SETTLE_MILLIS);
    }
  }

  @Nested
  class Following {
    @Test
    void should_not_read_while_a_followed_node_sends_updates() {
      // GIVEN
      table.addResult(page(7, "a"));
      watch.tick();
      int before = table.calls;
      // WHEN
      for (int version = 8; version < 28; version++) {
        watch.onUpdate(news(version - 1, version, 0), true);
        run(PACE.pauseMillis());
      }
      // THEN
      assertThat(table.calls).isEqualTo(before);
      assertThat(taken).hasSize(21);
      assertThat(passedOn).hasSize(1);
    }

    @Test
    void should_read_once_the_followed_node_stops_sending_updates() {
      // GIVEN
      table.addResult(page(7, "a"));
      watch.tick();
      watch.onUpdate(news(7, 8, 0), true);
      int before = table.calls;
      table.addResult(page(9, "b"));
      // WHEN
      run(PACE.maxUpdateAgeMillis());
      // THEN
      assertThat(table.calls).isEqualTo(before + 1);
      assertThat(taken.get(2).version()).isEqualTo(9);
    }

    @Test
    void should_read_at_the_next_tick_after_the_followed_node_is_disconnected() {
      // GIVEN
      table.addResult(page(7, "a"));
      watch.tick();
      watch.onUpdate(news(7, 8, 0), true);
      table.addResult(page(9, "b"));
      // WHEN
      watch.readAtNextTick();
      watch.tick();
      // THEN
      assertThat(taken.get(2).version()).isEqualTo(9);
    }

    @Test
    void should_subtract_the_age_of_an_update_from_the_time_that_it_replaces_reads() {
      // GIVEN
      table.addResult(page(7, "a"));
      watch.tick();
      int before = table.calls;
      table.addResult(page(9, "b"));
      // WHEN news come that are older than they may be
      watch.onUpdate(news(7, 8, PACE.maxUpdateAgeMillis()), true);
      run(PACE.pauseMillis());
      // THEN
      assertThat(table.calls).isEqualTo(before + 1);
    }

    @Test
    void should_read_at_the_next_tick_if_an_update_leaves_a_gap() {
      // GIVEN
      table.addResult(page(7, "a"));
      watch.tick();
      table.addResult(page(12, "b"));
      // WHEN
      watch.onUpdate(news(10, 11, 0), true);
      watch.tick();
      // THEN
      assertThat(taken).extracting(TableUpdate::version).containsExactly(7L, 12L);
      assertThat(taken.get(1).afterVersion()).isEqualTo(7);
    }

    @Test
    void should_ignore_an_update_that_is_older_than_the_known_version() {
      // GIVEN
      table.addResult(page(7, "a"));
      watch.tick();
      // WHEN
      watch.onUpdate(news(3, 6, 0), true);
      // THEN
      assertThat(taken).hasSize(1);
    }

    @Test
    void should_apply_an_update_of_a_node_that_is_not_followed_and_keep_reading() {
      // GIVEN
      table.addResult(page(7, "a"));
      watch.tick();
      int before = table.calls;
      table.addResult(page(8, "b"));
      // WHEN
      watch.onUpdate(news(7, 8, 0), false);
      run(PACE.pauseMillis());
      // THEN
      assertThat(taken.get(1).version()).isEqualTo(8);
      assertThat(table.calls).isEqualTo(before + 1);
    }

    @Test
    void should_discard_a_read_result_that_is_older_than_a_received_update() {
      // GIVEN an answer that is still on its way
      table.addResult(page(7, "a"));
      watch.tick();
      CompletableFuture<Optional<RowStore.ReadResult>> slow = table.addPendingResult();
      run(PACE.pauseMillis());
      watch.onUpdate(news(7, 20, 0), true);
      // WHEN
      slow.complete(Optional.of(page(15, "old")));
      // THEN
      assertThat(taken).extracting(TableUpdate::version).containsExactly(7L, 20L);
    }
  }

  private void run(long millis) {
    long untilMillis = clock.millis() + millis;
    while (clock.millis() < untilMillis) {
      clock.nowMillis += 50;
      watch.tick();
    }
  }

  private static RowStore.ReadResult page(long version, String key) {
    return new RowStore.ReadResult(List.of(new Row(key, "{}", version)), List.of(), version);
  }

  private static TableUpdate<Row> news(long after, long version, long ageMillis) {
    return new TableUpdate<>(
        List.of(new Row("n", "{}", version)), List.of(), after, version, false, ageMillis, 0);
  }

  private static final class ManualClock implements InstantSource {
    private long nowMillis;

    @Override
    public Instant instant() {
      return Instant.ofEpochMilli(nowMillis);
    }
  }

  /** Answers each call with the next scripted answer, and refuses where there is none. */
  private static final class ScriptedStore implements RowStore {
    private final List<CompletableFuture<Optional<ReadResult>>> answers = new ArrayList<>();
    private int calls;

    void addResult(ReadResult page) {
      answers.add(CompletableFuture.completedFuture(Optional.of(page)));
    }

    void addMissingHistory() {
      answers.add(CompletableFuture.completedFuture(Optional.empty()));
    }

    CompletableFuture<Optional<ReadResult>> addPendingResult() {
      answers.add(new CompletableFuture<>());
      return answers.get(answers.size() - 1);
    }

    private CompletableFuture<Optional<ReadResult>> next() {
      calls++;
      return answers.isEmpty()
          ? CompletableFuture.failedFuture(new IllegalStateException("the store is down"))
          : answers.remove(0);
    }

    @Override
    public CompletableFuture<ReadResult> readAll(String name) {
      return next().thenApply(Optional::orElseThrow);
    }

    @Override
    public CompletableFuture<Optional<ReadResult>> readChanges(
        String name, long after, long waitMillis) {
      return next();
    }

    @Override
    public CompletableFuture<Optional<Row>> get(String name, String key) {
      throw new UnsupportedOperationException(key);
    }

    @Override
    public CompletableFuture<Optional<Long>> write(
        String name, String key, long expectedVersion, String value) {
      throw new UnsupportedOperationException(key);
    }
  }
}
