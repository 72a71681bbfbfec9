package io.nutmegseam.node.gateway;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.node.control.ControlThread;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.BiConsumer;

/** Follows one table of the store. Confined to the control thread. */
final class RowWatch {
  /** A store that turns a node away is asked again after this time. */
  private static final long RETRY_MILLIS = 300;

  private final RowTable rows;
  private final String table;
  private final long waitMillis;
  private final long pauseMillis;
  private final ControlThread thread;
  private final InstantSource clock;
  private final EventSink events;
  private final BiConsumer<RowTable.Page, Boolean> sink;
  private long version = -1;
  private boolean out;
  private long lastGoodMillis;
  private long backSinceMillis;

  /**
   * Creates a watch; {@link #start} begins to read.
   *
   * @param source the store and the table to follow
   * @param pace how long the store may wait for a change, and the pause between reads
   * @param thread the control thread
   * @param clock monotonic clock
   * @param events the log
   * @param sink takes each page, and whether it holds the whole table
   */
  RowWatch(
      Source source,
      Pace pace,
      ControlThread thread,
      InstantSource clock,
      EventSink events,
      BiConsumer<RowTable.Page, Boolean> sink) {
    this.rows = source.rows();
    this.table = source.table();
    this.waitMillis = pace.waitMillis();
    this.pauseMillis = pace.pauseMillis();
    this.thread = thread;
    this.clock = clock;
    this.events = events;
    this.sink = sink;
  }

  /** The table to follow. */
  record Source(RowTable rows, String table) {}

  /** How long the store may wait for a change, and the pause between reads, in milliseconds. */
  record Pace(long waitMillis, long pauseMillis) {}

  /** Begins to read. */
  void start() {
    thread.execute(this::read);
  }

  /** Returns how long ago the store last answered, in milliseconds. */
  long ageMillis() {
    return clock.millis() - lastGoodMillis;
  }

  /** Returns whether the store does not answer, or has only just begun to answer again. */
  boolean isUnsettled(long settleMillis) {
    return out || clock.millis() - backSinceMillis < settleMillis;
  }

  private void read() {
    if (version < 0) {
      rows.read(table).whenComplete((page, e) -> thread.execute(() -> onWhole(page, e)));
    } else {
      rows.changes(table, version, waitMillis)
          .whenComplete((page, e) -> thread.execute(() -> onChanges(page, e)));
    }
  }

  private void onWhole(RowTable.Page page, Throwable failure) {
    if (failure != null) {
      onFailure(failure);
      return;
    }
    onGood();
    version = page.version();
    sink.accept(page, true);
    again(pauseMillis);
  }

  private void onChanges(Optional<RowTable.Page> page, Throwable failure) {
    if (failure != null) {
      onFailure(failure);
      return;
    }
    onGood();
    if (page.isEmpty()) {
      events.record(EventKind.PLATFORM_BACK, table, "history is gone; reading the whole table");
      version = -1;
      again(0);
      return;
    }
    version = Math.max(version, page.get().version());
    sink.accept(page.get(), false);
    again(pauseMillis);
  }

  private void onGood() {
    lastGoodMillis = clock.millis();
    if (out) {
      out = false;
      backSinceMillis = lastGoodMillis;
      events.record(EventKind.PLATFORM_BACK, table, "version " + version);
    }
  }

  private void onFailure(Throwable failure) {
    if (!out) {
      out = true;
      events.record(EventKind.PLATFORM_OUT, table, "version " + version + ", " + failure);
    }
    again(RETRY_MILLIS);
  }

  private void again(long delayMillis) {
    thread.after(delayMillis, this::read);
  }
}
