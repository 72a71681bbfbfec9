package io.nutmegseam.node.rows;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.StorePosition;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Watches a table of the store: reads it, and applies the updates of a node that reads it for the
 * data centre. While those updates are recent, this node does not read. Confined to the control
 * thread.
 *
 * @param <T> type of the decoded rows
 */
public final class TableWatcher<T> {
  private static final long FIRST_RETRY_MILLIS = 300;

  /** Longest time between retries: short enough for changes that must take effect in seconds. */
  private static final long MAX_RETRY_MILLIS = 2_000;

  /** Rows that lapsed during an outage of the store return within this time after it. */
  public static final long SETTLE_MILLIS = 2_500;

  private static final long UNKNOWN_VERSION = -1;

  private final Source source;
  private final PollTiming timing;
  private final RowFormat<T> format;
  private final TableContents<T> contents;
  private final AnswerTimes answers;
  private final TableSink<T> sink;
  private final Relay<T> relay;
  private final Context context;
  private Supplier<Runnable> readObserver = () -> () -> {};
  private AnswerObserver answerObserver = AnswerObserver.NONE;
  private long version = UNKNOWN_VERSION;
  private boolean fullReadDue = true;
  private boolean readInFlight;

  /** Whether an update was missed during a read, which may lack its changes. */
  private boolean missedDuringRead;

  /** Whether the last read of this node failed, whoever is to blame for it. */
  private boolean readFailed;

  private long retryMillis = FIRST_RETRY_MILLIS;
  private long nextReadMillis = Long.MIN_VALUE;
  private long updatesValidUntilMillis = Long.MIN_VALUE;

  /** The store, and the name of the watched table. */
  public record Source(RowStore store, String table) {}

  /** The control thread, the monotonic clock, the event log and the source of random delays. */
  public record Context(
      Executor thread, InstantSource clock, EventSink events, RandomGenerator random) {}

  /** Forwards what this node has read to other nodes. */
  @FunctionalInterface
  public interface Relay<T> {
    /** Forwards an update of a table. */
    void forward(String table, TableUpdate<T> update);
  }

  /**
   * Creates a watcher; {@link #tick} reads the table.
   *
   * @param source the watched table
   * @param timing times that determine when the table is read
   * @param format decodes rows, and tells what nodes forward of them
   * @param sink applies updates
   * @param relay forwards what this node has read
   * @param context the control thread, clock, log and random source
   */
  public TableWatcher(
      Source source,
      PollTiming timing,
      RowFormat<T> format,
      TableSink<T> sink,
      Relay<T> relay,
      Context context) {
    this.source = source;
    this.timing = timing;
    this.format = format;
    this.contents = new TableContents<>(format.hashing());
    this.answers = new AnswerTimes(timing.maxUpdateAgeMillis());
    this.sink = sink;
    this.relay = relay;
    this.context = context;
  }

  /**
   * Sets an observer of this node's own reads.
   *
   * @param observer called before each read is sent; its result is run once the rows that the read
   *     returned are applied
   */
  public void observeReads(Supplier<Runnable> observer) {
    readObserver = observer;
  }

  /**
   * Sets an observer of the answers of the store.
   *
   * @param observer called for each answer
   */
  public void observeAnswers(AnswerObserver observer) {
    answerObserver = observer;
  }

  /** Reads the table if a read is due. */
  public void tick() {
    if (!readInFlight && nowMillis() >= nextReadMillis) {
      readInFlight = true;
      read();
    }
  }

  /**
   * Makes a retry due at the next tick if the last read failed; call when the store has responded
   * to a read of another table.
   */
  public void retryAtNextTick() {
    if (readFailed) {
      retryMillis = FIRST_RETRY_MILLIS;
      nextReadMillis = Math.min(nextReadMillis, nowMillis());
    }
  }

  /** Makes one read due at the next tick, although the followed node sends updates. */
  public void readOnceAtNextTick() {
    nextReadMillis = Math.min(nextReadMillis, nowMillis());
  }

  /** Makes a read due at the next tick; call when a followed node has disconnected. */
  public void readAtNextTick() {
    updatesValidUntilMillis = Long.MIN_VALUE;
    nextReadMillis = Math.min(nextReadMillis, nowMillis());
  }

  /**
   * Applies an update that another node has read. Ignores an update that is older than the known
   * version; an update that leaves a gap makes a read due instead. So a node has applied every
   * change up to its version, however updates are lost, delayed or overtaken by its own reads.
   *
   * @param update the update
   * @param followed whether the other node reads the store for this one
   */
  public void onUpdate(TableUpdate<T> update, boolean followed) {
    long nowMillis = nowMillis();
    if (update.version() < version) {
      return;
    }
    if (!isContiguous(update)) {
      missedDuringRead = readInFlight;
      nextReadMillis = Math.min(nextReadMillis, nowMillis);
      return;
    }
    noteEra(update.version());
    AnswerObserver.State before = state();
    boolean gap =
        answers.onAnswerToOther(
            nowMillis - update.ageMillis(), update.unsettledMillis(), nowMillis);
    if (gap) {
      onGap(before, update.version(), contents.removedBy(update));
    }
    if (update.version() > version) {
      version = update.version();
      fullReadDue &= !update.full();
      contents.apply(update);
      sink.apply(update.withUnsettledMillis(unsettledMillis()));
    }
    if (!gap) {
      answerObserver.onAnswer(state());
    }
    if (followed) {
      updatesValidUntilMillis = nowMillis - update.ageMillis() + timing.maxUpdateAgeMillis();
      nextReadMillis = Math.max(nextReadMillis, updatesValidUntilMillis);
    }
  }

  /**
   * Returns whether this node has applied every change up to the version of an update once it has
   * applied the update. Its sender has left out what it knew already at {@code afterVersion}; rows
   * that changed and changed back since then differ here if this node has read them meanwhile,
   * which the digest shows.
   */
  private boolean isContiguous(TableUpdate<T> update) {
    return update.full()
        || (version != UNKNOWN_VERSION
            && update.afterVersion() <= version
            && StorePosition.era(update.version()) == StorePosition.era(version)
            && (update.digest().isEmpty()
                || update.digest().getAsLong() == contents.digestAfter(update)));
  }

  /**
   * Returns the time since the store last responded to this node or, according to an update, to
   * another node, in milliseconds.
   */
  public long ageMillis() {
    return nowMillis() - answers.lastMillis();
  }

  /**
   * Returns the monotonic time of the last response of the store, as {@link #ageMillis} does its
   * age; empty if the table has not been read yet.
   */
  public OptionalLong readMillis() {
    return version == UNKNOWN_VERSION
        ? OptionalLong.empty()
        : OptionalLong.of(answers.lastMillis());
  }

  /** Returns the era of the store in which the table was last read; 0 before the first read. */
  public long era() {
    return version == UNKNOWN_VERSION ? 0 : StorePosition.era(version);
  }

  /** Returns whether the last read of this node failed. */
  public boolean isStoreUnavailable() {
    return readFailed;
  }

  private long nowMillis() {
    return context.clock().millis();
  }

  private void read() {
    long after = version;
    missedDuringRead = false;
    Runnable onApplied = readObserver.get();
    if (fullReadDue) {
      source
          .store()
          .readAll(source.table())
          .whenComplete(
              (result, e) -> context.thread().execute(() -> onAllRows(result, e, onApplied)));
    } else {
      source
          .store()
          .readChanges(source.table(), after, timing.longPollMillis())
          .whenComplete(
              (result, e) ->
                  context.thread().execute(() -> onChanges(after, result, e, onApplied)));
    }
  }

  private void onAllRows(RowStore.ReadResult result, Throwable failure, Runnable onApplied) {
    readInFlight = false;
    if (failure != null) {
      onFailure(failure);
    } else {
      onRead(UNKNOWN_VERSION, result, true, onApplied);
    }
  }

  private void onChanges(
      long after, Optional<RowStore.ReadResult> result, Throwable failure, Runnable onApplied) {
    readInFlight = false;
    if (failure != null) {
      onFailure(failure);
    } else if (result.isEmpty()) {
      context
          .events()
          .record(
              EventKind.PLATFORM_BACK,
              source.table(),
              "history after version "
                  + StorePosition.text(after)
                  + " is unavailable; reading the full table");
      fullReadDue = true;
      nextReadMillis = nowMillis();
    } else {
      onRead(after, result.get(), false, onApplied);
    }
  }

  private void onRead(long after, RowStore.ReadResult result, boolean full, Runnable onApplied) {
    AnswerObserver.State before = state();
    boolean gap = onResponse();
    long newVersion = Math.max(after, result.version());
    if (missedDuringRead) {
      nextReadMillis = nowMillis();
    }
    if (newVersion < version) {
      // An update of another node that is newer than this result was applied during the read.
      if (gap) {
        onGap(before, version, 0);
      }
      return;
    }
    noteEra(newVersion);
    TableUpdate<T> read = decode(after, result, full);
    if (gap) {
      onGap(before, newVersion, contents.removedBy(read));
    }
    TableUpdate<T> update = read.withUnsettledMillis(unsettledMillis());
    List<T> changed = full ? update.items() : contents.changed(update.items());
    long versionBefore = version;
    version = newVersion;
    fullReadDue = false;
    contents.apply(update);
    sink.apply(update);
    if (!gap) {
      answerObserver.onAnswer(state());
    }
    onApplied.run();
    if (nowMillis() >= updatesValidUntilMillis) {
      relay.forward(source.table(), update.reducedTo(changed, versionBefore, contents.digest()));
    }
  }

  /** Decodes a result. A row that cannot be decoded replaces what the row said before. */
  private TableUpdate<T> decode(long after, RowStore.ReadResult result, boolean full) {
    List<T> items = new ArrayList<>();
    List<String> removedKeys = new ArrayList<>(result.removedKeys());
    for (Row row : result.rows()) {
      Optional<T> item = format.decoder().apply(row);
      item.ifPresent(items::add);
      if (item.isEmpty() && !full) {
        removedKeys.add(row.key());
      }
    }
    long newVersion = Math.max(after, result.version());
    return new TableUpdate<>(items, removedKeys, after, newVersion, full, 0, 0);
  }

  /**
   * Starts the time in which rows may return if a version belongs to a later era: rows that are
   * missing from the older copy are written again by those whom they describe.
   */
  private void noteEra(long newVersion) {
    if (version == UNKNOWN_VERSION || StorePosition.era(newVersion) <= StorePosition.era(version)) {
      return;
    }
    answers.onRestored(nowMillis());
    context
        .events()
        .record(
            EventKind.STORE_RESTORED,
            source.table(),
            "version %s, was %s; read the full table"
                .formatted(StorePosition.text(newVersion), StorePosition.text(version)));
  }

  private long unsettledMillis() {
    return answers.unsettledMillis(nowMillis());
  }

  private AnswerObserver.State state() {
    return new AnswerObserver.State(answers.lastMillis(), version, contents.size());
  }

  /** Finds out whether the store was away before its last answer. */
  private void onGap(AnswerObserver.State before, long versionAfter, int removedRows) {
    AnswerObserver.State after =
        new AnswerObserver.State(answers.lastMillis(), versionAfter, contents.size() - removedRows);
    answerObserver.onGap(
        new AnswerObserver.Gap(before, after, removedRows), this::onAnsweredMeanwhile);
  }

  private void onAnsweredMeanwhile() {
    answers.onAnsweredMeanwhile();
    sink.limitUnsettled(unsettledMillis());
  }

  /** Handles a response to this node; returns whether the store may have been away before it. */
  private boolean onResponse() {
    long nowMillis = nowMillis();
    if (readFailed) {
      readFailed = false;
      context.events().record(EventKind.PLATFORM_BACK, source.table(), "version " + version);
    }
    retryMillis = FIRST_RETRY_MILLIS;
    nextReadMillis = Math.max(nowMillis + timing.pauseMillis(), updatesValidUntilMillis);
    return answers.onOwnAnswer(nowMillis);
  }

  private void onFailure(Throwable failure) {
    answers.onFailure(nowMillis());
    if (!readFailed) {
      readFailed = true;
      context
          .events()
          .record(EventKind.PLATFORM_OUT, source.table(), "version " + version + ", " + failure);
    }
    long jitterMillis = context.random().nextLong(retryMillis / 2 + 1);
    nextReadMillis =
        Math.max(nowMillis() + retryMillis / 2 + jitterMillis, updatesValidUntilMillis);
    retryMillis = Math.min(MAX_RETRY_MILLIS, 2 * retryMillis);
  }
}
