package io.nutmegseam.node.control;

import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.config.RecordChange;
import io.nutmegseam.core.config.RecordKind;
import io.nutmegseam.core.config.RecordParser;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.RowCodec;
import io.nutmegseam.node.peer.generated.ConfigChange;
import io.nutmegseam.node.peer.generated.ConfigChanges;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Applies the configuration changes that the platform has stored or that peers have sent. The
 * active revision never decreases.
 */
public final class ConfigControl {
  private static final int MAX_ROWS = 100_000;

  private final NodeContext context;
  private final Runnable onChange;
  private Catalog catalog = Catalog.empty();
  private long seenVersion;
  private boolean polling;
  private volatile boolean loaded;

  /**
   * Creates the component with an empty catalog.
   *
   * @param context settings and services of the node
   * @param onChange runs on the control thread after an update of the active records, and after the
   *     first successful poll
   */
  public ConfigControl(NodeContext context, Runnable onChange) {
    this.context = context;
    this.onChange = onChange;
  }

  /** The head revision, the highest row version and the changes that one poll has read. */
  private record PollResult(long headRevision, long seenVersion, List<RecordChange> changes) {}

  /** Starts to read the changes since the last successful poll, unless a read is in flight. */
  public void poll() {
    if (polling) {
      return;
    }
    polling = true;
    long sinceVersion = seenVersion;
    context.thread().callAsync(() -> read(sinceVersion), this::onPolled);
  }

  /** Returns the catalog of the active records. */
  public Catalog catalog() {
    return catalog;
  }

  /** Returns whether a configuration was read from the platform or received from a peer. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the stored changes after a revision, for a peer that cannot reach the platform. */
  public ConfigChanges changesAfter(long afterRevision) {
    ConfigChanges.Builder changes = ConfigChanges.newBuilder().setHeadRevision(catalog.revision());
    for (RecordChange change : catalog.changesAfter(afterRevision)) {
      changes.addChanges(
          ConfigChange.newBuilder()
              .setKind(change.kind().wireName())
              .setName(change.name())
              .setRevision(change.revision())
              .setDeleted(change.text().isEmpty())
              .setText(change.text().orElse("")));
    }
    return changes.build();
  }

  /** Applies changes that a peer sent; changes of unknown record kinds are ignored. */
  public void onPeerChanges(ConfigChanges message) {
    List<RecordChange> changes = new ArrayList<>();
    for (ConfigChange change : message.getChangesList()) {
      RecordKind.fromWireName(change.getKind())
          .ifPresent(kind -> changes.add(toRecordChange(kind, change)));
    }
    loaded = true;
    apply(message.getHeadRevision(), changes, "peer");
  }

  private static RecordChange toRecordChange(RecordKind kind, ConfigChange change) {
    Optional<String> text = change.getDeleted() ? Optional.empty() : Optional.of(change.getText());
    return new RecordChange(kind, change.getName(), change.getRevision(), text);
  }

  private PollResult read(long sinceVersion) throws PlatformException {
    List<Row> head = context.table().range(ConfigRows.HEAD_KEY, 0, 1);
    long headRevision = head.isEmpty() ? 0 : ConfigRows.headRevision(head.get(0));
    List<RecordChange> changes = new ArrayList<>();
    long version = sinceVersion;
    if (head.isEmpty() || head.get(0).version() > sinceVersion) {
      for (Row row : context.table().range(ConfigRows.RECORD_PREFIX, sinceVersion, MAX_ROWS)) {
        version = Math.max(version, row.version());
        RowCodec.decode(row.value(), ConfigRows.StoredRecord.class)
            .flatMap(ConfigRows.StoredRecord::toChange)
            .ifPresent(changes::add);
      }
    }
    return new PollResult(headRevision, version, changes);
  }

  private void onPolled(PollResult result, Exception error) {
    polling = false;
    if (error != null) {
      context.health().recordFailure(String.valueOf(error.getMessage()));
      return;
    }
    context.health().recordSuccess();
    boolean firstPoll = !loaded;
    loaded = true;
    seenVersion = Math.max(seenVersion, result.seenVersion());
    apply(result.headRevision(), result.changes(), "platform");
    if (firstPoll) {
      onChange.run();
    }
  }

  private void apply(long revision, Collection<RecordChange> changes, String source) {
    if (revision <= catalog.revision() && changes.isEmpty()) {
      return;
    }
    long previousRevision = catalog.revision();
    catalog = catalog.withChanges(revision, changes);
    changes.forEach(this::recordIfUnreadable);
    if (catalog.revision() > previousRevision) {
      context
          .events()
          .record(EventKind.CONFIG_IN_FORCE, Long.toString(catalog.revision()), "from " + source);
    }
    onChange.run();
  }

  private void recordIfUnreadable(RecordChange change) {
    boolean unreadable =
        change.text().isPresent() && RecordParser.parseStored(change.text().get()).isEmpty();
    if (unreadable) {
      context
          .events()
          .record(
              EventKind.CONFIG_UNREADABLE,
              change.kind().wireName() + "/" + change.name(),
              "revision " + change.revision());
    }
  }
}
