package io.nutmegseam.node.rows;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.platform.Row;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** How long rows that are missing may still return, after reads of this node have failed. */
class StoreOutageTest extends TableWatcherFixture {
  private static final long OUTAGE_MILLIS = 4_500;

  @BeforeEach
  void readTable() {
    store.addResult(result(7, "a"));
    watcher.tick();
  }

  /** Another node reads the store for this one, and told it first that the store is back. */
  @Nested
  class Following {
    private int version = 7;

    // Guards against removed servers that are kept after an outage that ended long ago.
    @Test
    void should_not_wait_for_rows_to_return_long_after_the_outage() {
      // GIVEN
      run(OUTAGE_MILLIS);
      follow(OUTAGE_MILLIS);
      store.addResult(removal(version + 1));
      // WHEN the other node falls silent
      run(2 * TIMING.maxUpdateAgeMillis());
      // THEN
      assertThat(lastApplied().removedKeys()).containsExactly("a");
      assertThat(lastApplied().unsettledMillis()).isZero();
    }

    // Guards against removed servers that are kept since only this node did not reach the store.
    @Test
    void should_not_wait_for_rows_to_return_if_the_other_node_saw_no_outage() {
      // GIVEN
      follow(OUTAGE_MILLIS);
      run(TIMING.maxUpdateAgeMillis());
      follow(TIMING.pauseMillis());
      // WHEN
      watcher.readAtNextTick();
      store.addResult(removal(version + 1));
      watcher.tick();
      // THEN
      assertThat(lastApplied().removedKeys()).containsExactly("a");
      assertThat(lastApplied().unsettledMillis()).isZero();
    }

    @Test
    void should_wait_for_rows_to_return_if_the_store_is_away_once_more() {
      // GIVEN
      run(OUTAGE_MILLIS);
      follow(OUTAGE_MILLIS);
      // WHEN
      run(OUTAGE_MILLIS);
      store.addResult(removal(version + 1));
      run(MAX_RETRY_MILLIS);
      // THEN
      assertThat(lastApplied().removedKeys()).containsExactly("a");
      assertThat(lastApplied().unsettledMillis()).isEqualTo(TableWatcher.SETTLE_MILLIS);
    }

    /** Receives updates of the other node for some time. */
    private void follow(long millis) {
      long untilMillis = clock.millis() + millis;
      while (clock.millis() < untilMillis) {
        watcher.onUpdate(update(version, version + 1, 0), true);
        version++;
        run(TIMING.pauseMillis());
      }
    }
  }

  /** The store answered others while this node did not reach it. */
  @Nested
  class AnsweredOthers {
    private final List<AnswerObserver.Gap> gaps = new ArrayList<>();
    private Runnable onAnsweredMeanwhile = () -> {};

    @BeforeEach
    void observeAnswers() {
      watcher.observeAnswers(
          new AnswerObserver() {
            @Override
            public void onAnswer(State state) {}

            @Override
            public void onGap(Gap gap, Runnable onAnswered) {
              gaps.add(gap);
              onAnsweredMeanwhile = onAnswered;
            }
          });
    }

    // Guards against a whole data centre that was cut off, and waits since its reader does.
    @Test
    void should_find_out_about_an_outage_that_the_followed_node_tells_of() {
      // GIVEN
      run(OUTAGE_MILLIS);
      // WHEN
      watcher.onUpdate(
          new TableUpdate<>(List.of(), List.of("a"), 7, 9, false, 0, TableWatcher.SETTLE_MILLIS),
          true);
      // THEN
      assertThat(gaps).hasSize(1);
      assertThat(gaps.get(0).before().version()).isEqualTo(7);
      assertThat(gaps.get(0).after().version()).isEqualTo(9);
      assertThat(gaps.get(0).removedRows()).isEqualTo(1);
    }

    @Test
    void should_not_wait_for_rows_to_return_from_then_on() {
      // GIVEN
      run(OUTAGE_MILLIS);
      store.addResult(result(8, "b"));
      run(MAX_RETRY_MILLIS);
      // WHEN
      onAnsweredMeanwhile.run();
      watcher.onUpdate(update(8, 9, 0), false);
      // THEN
      assertThat(gaps).hasSize(1);
      assertThat(lastApplied().unsettledMillis()).isZero();
    }
  }

  private TableUpdate<Row> lastApplied() {
    return applied.get(applied.size() - 1);
  }

  private static RowStore.ReadResult removal(long version) {
    return new RowStore.ReadResult(List.of(), List.of("a"), version);
  }
}
