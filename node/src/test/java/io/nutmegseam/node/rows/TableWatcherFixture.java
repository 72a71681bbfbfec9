package io.nutmegseam.node.rows;

import io.nutmegseam.core.platform.Row;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** A watcher of a scripted store, whose time is that of a test. */
abstract class TableWatcherFixture {
  static final PollTiming TIMING = new PollTiming(0, 500, 1_200);
  static final long MAX_RETRY_MILLIS = 2_000;

  /** Value of a row that cannot be decoded. */
  static final String UNREADABLE = "?";

  final ManualClock clock = new ManualClock();
  final ScriptedRowStore store = new ScriptedRowStore();
  final List<TableUpdate<Row>> applied = new ArrayList<>();
  final List<TableUpdate<Row>> forwarded = new ArrayList<>();
  final TableWatcher<Row> watcher =
      new TableWatcher<>(
          new TableWatcher.Source(store, "t"),
          TIMING,
          new RowFormat<>(
              row -> row.value().equals(UNREADABLE) ? Optional.empty() : Optional.of(row),
              RowHashes.ROWS),
          applied::add,
          (name, update) -> forwarded.add(update),
          new TableWatcher.Context(
              Runnable::run, clock, (kind, subject, detail) -> {}, new Random(1)));

  void run(long millis) {
    long untilMillis = clock.millis() + millis;
    while (clock.millis() < untilMillis) {
      clock.nowMillis += 50;
      watcher.tick();
    }
  }

  static RowStore.ReadResult result(long version, String key) {
    return new RowStore.ReadResult(List.of(new Row(key, "{}", version)), List.of(), version);
  }

  static TableUpdate<Row> update(long after, long version, long ageMillis) {
    return new TableUpdate<>(
        List.of(new Row("n", "{}", version)), List.of(), after, version, false, ageMillis, 0);
  }

  static final class ManualClock implements InstantSource {
    long nowMillis;

    @Override
    public Instant instant() {
      return Instant.ofEpochMilli(nowMillis);
    }
  }
}
