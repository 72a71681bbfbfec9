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

/** Brings every accepted configuration revision in force; the revision in force never falls. */
public final class ConfigControl {
  private static final int MAX_ROWS = 100_000;

  private final NodeContext context;
  private final Runnable onChange;
  private Catalog catalog = Catalog.empty();
  private long seenVersion;
  private boolean polling;
  private volatile boolean loaded;

  /**
   * Creates the part.
   *
   * @param context what it works with
   * @param onChange runs after a change of the records in force
   */
  public ConfigControl(NodeContext context, Runnable onChange) {
    this.context = context;
    this.onChange = onChange;
  }

  /** What one poll of the platform found. */
  private record Polled(long headRevision, long seenVersion, List<RecordChange> changes) {}

  /** Reads the changes since the last poll. */
  public void poll() {
    if (polling) {
      return;
    }
    polling = true;
    long since = seenVersion;
    context.thread().call(() -> read(since), this::onPolled);
  }

  /** Returns the records in force. */
  public Catalog catalog() {
    return catalog;
  }

  /** Returns whether the records were read from the platform or from a peer. */
  public boolean isLoaded() {
    return loaded;
  }

  /** Returns the changes after a revision, for a peer that cannot reach the platform. */
  public ConfigChanges changesFor(long afterRevision) {
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

  /** Takes in changes that a peer sent. */
  public void onPeerChanges(ConfigChanges message) {
    List<RecordChange> changes = new ArrayList<>();
    for (ConfigChange change : message.getChangesList()) {
      RecordKind.fromWireName(change.getKind())
          .ifPresent(kind -> changes.add(decoded(kind, change)));
    }
    loaded = true;
    bringInForce(message.getHeadRevision(), changes, "peer");
  }

  private static RecordChange decoded(RecordKind kind, ConfigChange change) {
    Optional<String> text = change.getDeleted() ? Optional.empty() : Optional.of(change.getText());
    return new RecordChange(kind, change.getName(), change.getRevision(), text);
  }

  private Polled read(long since) throws PlatformException {
    List<Row> head = context.table().range(ConfigRows.HEAD_KEY, 0, 1);
    long headRevision = head.isEmpty() ? 0 : ConfigRows.headRevision(head.get(0));
    List<RecordChange> changes = new ArrayList<>();
    long version = since;
    if (head.isEmpty() || head.get(0).version() > since) {
      for (Row row : context.table().range(ConfigRows.RECORD_PREFIX, since, MAX_ROWS)) {
        version = Math.max(version, row.version());
        RowCodec.decode(row.value(), ConfigRows.StoredRecord.class)
            .flatMap(ConfigRows.StoredRecord::toChange)
            .ifPresent(changes::add);
      }
    }
    return new Polled(headRevision, version, changes);
  }

  private void onPolled(Polled polled, Exception error) {
    polling = false;
    if (error != null) {
      context.health().failed(String.valueOf(error.getMessage()));
      return;
    }
    context.health().answered();
    boolean first = !loaded;
    loaded = true;
    seenVersion = Math.max(seenVersion, polled.seenVersion());
    bringInForce(polled.headRevision(), polled.changes(), "platform");
    if (first) {
      onChange.run();
    }
  }

  private void bringInForce(long revision, Collection<RecordChange> changes, String source) {
    if (revision <= catalog.revision() && changes.isEmpty()) {
      return;
    }
    long before = catalog.revision();
    catalog = catalog.withChanges(revision, changes);
    changes.forEach(this::noteUnreadable);
    if (catalog.revision() > before) {
      context
          .events()
          .record(EventKind.CONFIG_IN_FORCE, Long.toString(catalog.revision()), "from " + source);
    }
    onChange.run();
  }

  private void noteUnreadable(RecordChange change) {
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
