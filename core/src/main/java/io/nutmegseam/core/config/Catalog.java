package io.nutmegseam.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The active records at a configuration revision. Immutable. */
public final class Catalog {
  private static final PolicyRecord DEFAULT_POLICY =
      RecordBuilder.policy(RecordParser.defaults(RecordKind.POLICY));

  private final long revision;
  private final Map<RecordId, OperatorRecord> records;
  private final Map<RecordId, RecordChange> changes;
  private final List<BackendServerRecord> backendServers;
  private final List<ModelRecord> models;

  /**
   * Identifies a record.
   *
   * @param kind the record kind
   * @param name name of the record
   */
  public record RecordId(RecordKind kind, String name) {}

  private Catalog(
      long revision, Map<RecordId, OperatorRecord> records, Map<RecordId, RecordChange> changes) {
    this.revision = revision;
    this.records = records;
    this.changes = changes;
    this.backendServers = select(records, BackendServerRecord.class);
    this.models = select(records, ModelRecord.class);
  }

  /** Returns the catalog of revision 0, which has no records. */
  public static Catalog empty() {
    return new Catalog(0, Map.of(), Map.of());
  }

  /**
   * Returns the catalog after stored changes. A change is ignored if the last change of its record
   * has the same or a later revision. A change that cannot be parsed leaves the active record as it
   * is.
   *
   * @param headRevision the configuration revision after the changes
   * @param newChanges the changes, in any order
   * @return the catalog, at the higher of its own and the head revision
   */
  public Catalog withChanges(long headRevision, Collection<RecordChange> newChanges) {
    Map<RecordId, OperatorRecord> nextRecords = new HashMap<>(records);
    Map<RecordId, RecordChange> nextChanges = new HashMap<>(changes);
    for (RecordChange change : newChanges) {
      RecordId id = new RecordId(change.kind(), change.name());
      RecordChange last = nextChanges.get(id);
      if (last != null && last.revision() >= change.revision()) {
        continue;
      }
      nextChanges.put(id, change);
      if (change.text().isEmpty()) {
        nextRecords.remove(id);
      } else {
        RecordParser.parseStored(change.text().get()).ifPresent(r -> nextRecords.put(id, r));
      }
    }
    return new Catalog(Math.max(revision, headRevision), nextRecords, nextChanges);
  }

  /** Returns the configuration revision. */
  public long revision() {
    return revision;
  }

  /** Returns the last change of each record that was changed after a revision. */
  public List<RecordChange> changesAfter(long afterRevision) {
    return changes.values().stream().filter(c -> c.revision() > afterRevision).toList();
  }

  /** Returns the last change of a record, or empty if there is none. */
  public Optional<RecordChange> lastChange(RecordKind kind, String name) {
    return Optional.ofNullable(changes.get(new RecordId(kind, name)));
  }

  /** Returns all records, in no particular order. */
  public Collection<OperatorRecord> records() {
    return Collections.unmodifiableCollection(records.values());
  }

  /** Returns the record with a kind and a name, or empty if there is none. */
  public Optional<OperatorRecord> find(RecordKind kind, String name) {
    return Optional.ofNullable(records.get(new RecordId(kind, name)));
  }

  /** Returns the model with a name, or empty if there is none. */
  public Optional<ModelRecord> model(String name) {
    return find(RecordKind.MODEL, name).map(ModelRecord.class::cast);
  }

  /** Returns the adapter with a name, or empty if there is none. */
  public Optional<AdapterRecord> adapter(String name) {
    return find(RecordKind.ADAPTER, name).map(AdapterRecord.class::cast);
  }

  /** Returns the plain service with a name, or empty if there is none. */
  public Optional<ServiceRecord> service(String name) {
    return find(RecordKind.SERVICE, name).map(ServiceRecord.class::cast);
  }

  /** Returns the backend server with a name, or empty if there is none. */
  public Optional<BackendServerRecord> backendServer(String name) {
    return find(RecordKind.BACKEND_SERVER, name).map(BackendServerRecord.class::cast);
  }

  /** Returns the backend servers, sorted by name. */
  public List<BackendServerRecord> backendServers() {
    return backendServers;
  }

  /** Returns the models, sorted by name. */
  public List<ModelRecord> models() {
    return models;
  }

  /** Returns the active policy, or the default policy if there is no policy record. */
  public PolicyRecord policy() {
    return find(RecordKind.POLICY, PolicyRecord.NAME)
        .map(PolicyRecord.class::cast)
        .orElse(DEFAULT_POLICY);
  }

  /** Returns the longest timeout of any call of a plain service, in milliseconds. */
  public long maxCallTimeoutMillis() {
    return select(records, ServiceRecord.class).stream()
        .flatMap(service -> service.calls().stream())
        .mapToLong(ServiceRecord.Call::timeoutMillis)
        .max()
        .orElse(0);
  }

  private static <T extends OperatorRecord> List<T> select(
      Map<RecordId, OperatorRecord> records, Class<T> type) {
    List<T> selected = new ArrayList<>();
    for (OperatorRecord record : records.values()) {
      if (type.isInstance(record)) {
        selected.add(type.cast(record));
      }
    }
    selected.sort(java.util.Comparator.comparing(OperatorRecord::name));
    return List.copyOf(selected);
  }
}
