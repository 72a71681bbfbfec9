package io.nutmegseam.node.crash;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.nutmegseam.core.crash.CrashVerdict;
import io.nutmegseam.core.crash.Fingerprint;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.platform.Row;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/**
 * Keeps the verdicts in the project's own table, so that they reach nodes in data centres that are
 * cut off from this one, and nodes that start after all others have been restarted. Confined to the
 * control thread.
 */
public final class VerdictStore {
  /** Nodes that have not seen the crashes leave the writing of a verdict to those that have. */
  private static final long HEARD_DELAY_MILLIS = 1_000;

  private static final long HEARD_SPREAD_MILLIS = 1_000;

  /** Time for a write to show in the table before it is repeated. */
  private static final long REWRITE_MILLIS = 2_000;

  private final RowWriter writer;
  private final Executor thread;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final EventSink events;
  private final Map<Fingerprint, CrashVerdict> stored = new HashMap<>();
  private boolean known;
  private boolean writing;
  private long rowVersion;
  private long nextWriteMillis = Long.MAX_VALUE;
  private long nextClaimMillis = Long.MIN_VALUE;

  /** Writes a row of the project's own table. */
  @FunctionalInterface
  public interface RowWriter {
    /** Writes a row if it has the expected version; returns the new version, else empty. */
    CompletableFuture<Optional<Long>> write(String key, long expectedVersion, String value);
  }

  /**
   * Creates a store whose row has not been read.
   *
   * @param writer writes rows
   * @param thread the control thread
   * @param clock monotonic clock
   * @param random spreads the writes of several nodes
   * @param events the log
   */
  public VerdictStore(
      RowWriter writer,
      Executor thread,
      InstantSource clock,
      RandomGenerator random,
      EventSink events) {
    this.writer = writer;
    this.thread = thread;
    this.clock = clock;
    this.random = random;
    this.events = events;
  }

  /**
   * Applies rows of the table and returns the verdicts in them.
   *
   * @param rows rows that were read
   * @param full whether these are all rows of the table
   */
  List<CrashVerdict> onRows(List<Row> rows, boolean full) {
    Optional<Row> row = rows.stream().filter(r -> r.key().equals(VerdictRow.KEY)).findFirst();
    if (row.isPresent()) {
      rowVersion = row.get().version();
      setStored(decode(row.get()));
      known = true;
    } else if (full) {
      rowVersion = 0;
      setStored(List.of());
      known = true;
    }
    return List.copyOf(stored.values());
  }

  private void setStored(List<CrashVerdict> verdicts) {
    stored.clear();
    verdicts.forEach(verdict -> stored.put(verdict.fingerprint(), verdict));
  }

  private List<CrashVerdict> decode(Row row) {
    try {
      return VerdictRow.decode(row.value());
    } catch (JsonProcessingException | NumberFormatException e) {
      events.record(EventKind.CRASH_VERDICT, row.key(), "unreadable row, written anew: " + e);
      return List.of();
    }
  }

  /** Makes the next difference to the row be written without delay. */
  void writeSoon() {
    nextWriteMillis = clock.millis();
  }

  /**
   * Writes the row now, for a change that only one node may make: it fails if another node has
   * written the row since this node has read it.
   *
   * @param verdicts the verdicts with the change
   * @param onWritten called on the control thread if the row was written
   */
  void claim(Collection<CrashVerdict> verdicts, Runnable onWritten) {
    if (!known || writing || clock.millis() < nextClaimMillis) {
      return;
    }
    writing = true;
    nextClaimMillis = clock.millis() + REWRITE_MILLIS;
    writer
        .write(VerdictRow.KEY, rowVersion, VerdictRow.encode(verdicts))
        .whenComplete(
            (version, e) ->
                thread.execute(
                    () -> {
                      onWritten(e);
                      if (e == null && version.isPresent()) {
                        onWritten.run();
                      }
                    }));
  }

  /** Writes the row if it lacks something of the verdicts of this node. */
  void tick(Collection<CrashVerdict> verdicts) {
    if (verdicts.stream().allMatch(this::isStored)) {
      nextWriteMillis = Long.MAX_VALUE;
      return;
    }
    long nowMillis = clock.millis();
    if (nextWriteMillis == Long.MAX_VALUE) {
      nextWriteMillis = nowMillis + HEARD_DELAY_MILLIS + random.nextLong(HEARD_SPREAD_MILLIS);
    }
    if (known && !writing && nowMillis >= nextWriteMillis) {
      nextWriteMillis = nowMillis + REWRITE_MILLIS;
      write(verdicts);
    }
  }

  private boolean isStored(CrashVerdict verdict) {
    CrashVerdict row = stored.get(verdict.fingerprint());
    return row != null && verdict.isCoveredBy(row);
  }

  /** Writes the verdicts of this node, which have those of the row merged in but for ended ones. */
  private void write(Collection<CrashVerdict> verdicts) {
    writing = true;
    writer
        .write(VerdictRow.KEY, rowVersion, VerdictRow.encode(verdicts))
        .whenComplete((version, e) -> thread.execute(() -> onWritten(e)));
  }

  private void onWritten(Throwable failure) {
    writing = false;
    if (failure != null) {
      events.record(EventKind.PLATFORM_OUT, VerdictRow.KEY, "row not written: " + failure);
    }
  }
}
