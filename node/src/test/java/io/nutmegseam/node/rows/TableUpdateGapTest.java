package io.nutmegseam.node.rows;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.platform.Row;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Updates of nodes that knew another version of the table than this node. */
class TableUpdateGapTest extends TableWatcherFixture {
  /** Guards against a read that was sent too early to have what this node has missed. */
  @Test
  void should_read_again_if_an_update_leaves_a_gap_during_a_read() {
    // GIVEN
    store.addResult(result(7, "a"));
    watcher.tick();
    CompletableFuture<Optional<RowStore.ReadResult>> delayed = store.addPendingResult();
    run(TIMING.pauseMillis());
    watcher.onUpdate(update(10, 11, 0), true);
    delayed.complete(Optional.of(result(9, "b")));
    store.addResult(result(12, "c"));
    // WHEN
    watcher.tick();
    // THEN
    assertThat(applied).extracting(TableUpdate::version).containsExactly(7L, 9L, 12L);
  }

  /** Guards against changes that are skipped since the sender knew them before its read. */
  @Test
  void should_forward_what_it_leaves_out_only_to_nodes_that_have_it() {
    // GIVEN a row that another node forwards while this node reads it too
    store.addResult(result(7, "a"));
    watcher.tick();
    CompletableFuture<Optional<RowStore.ReadResult>> delayed = store.addPendingResult();
    run(TIMING.pauseMillis());
    watcher.onUpdate(update(7, 8, 0), false);
    // WHEN
    delayed.complete(
        Optional.of(new RowStore.ReadResult(List.of(new Row("n", "{}", 8)), List.of(), 9)));
    // THEN
    TableUpdate<Row> update = forwarded.get(forwarded.size() - 1);
    assertThat(update.items()).isEmpty();
    assertThat(update.afterVersion()).isEqualTo(8);
  }

  /** Guards against a row that changed and changed back since the version of the sender. */
  @Test
  void should_read_if_its_contents_would_differ_from_those_of_the_sender() {
    // GIVEN
    store.addResult(result(7, "a"));
    watcher.tick();
    store.addResult(result(12, "b"));
    // WHEN
    watcher.onUpdate(update(7, 11, 0).reducedTo(List.of(), 7, 1), true);
    watcher.tick();
    // THEN
    assertThat(applied).extracting(TableUpdate::version).containsExactly(7L, 12L);
  }

  @Test
  void should_apply_an_update_after_which_its_contents_are_those_of_the_sender() {
    // GIVEN
    store.addResult(result(7, "a"));
    watcher.tick();
    TableContents<Row> sender = new TableContents<>(RowHashes.ROWS);
    sender.apply(applied.get(0));
    TableUpdate<Row> update = update(7, 11, 0);
    sender.apply(update);
    // WHEN
    watcher.onUpdate(update.reducedTo(update.items(), 7, sender.digest()), true);
    // THEN
    assertThat(applied).extracting(TableUpdate::version).containsExactly(7L, 11L);
  }
}
