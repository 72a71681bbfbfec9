package io.nutmegseam.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The records in force at one configuration revision. Immutable. */
public final class Catalog {
  private static final PolicyRecord DEFAULT_POLICY =
      RecordBuilder.policy(RecordParser.defaults(RecordKind.POLICY));

  private final long revision;
  private final Map<RecordId, OperatorRecord> records;
  private final Map<RecordId, RecordChange> changes;
  private final List<BackendServerRecord> backendServers;
  private final List<ModelRecord> models;

  /**
   * Names one record.
   *
   * @param kind the record kind
   * @param name the record's name
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

  /** Returns the catalog before the first change. */
  public static Catalog empty() {
    return new Catalog(0, Map.of(), Map.of());
  }

  /**
   * Applies stored changes. A change that is not newer than the one in force for its record is
   * passed over; a change that cannot be read leaves the record in force.
   *
   * @param headRevision the revision that the changes lead to
   * @param newer the changes, in any order
   * @return the catalog at the higher of both revisions
   */
  public Catalog withChanges(long headRevision, Collection<RecordChange> newer) {
    Map<RecordId, OperatorRecord> nextRecords = new HashMap<>(records);
    Map<RecordId, RecordChange> nextChanges = new HashMap<>(changes);
    for (RecordChange change : newer) {
      RecordId id = new RecordId(change.kind(), change.name());
      RecordChange known = nextChanges.get(id);
      if (known != null && known.revision() >= change.revision()) {
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

  /** Returns the stored changes after a revision, as peers exchange them. */
  public List<RecordChange> changesAfter(long afterRevision) {
    return changes.values().stream().filter(c -> c.revision() > afterRevision).toList();
  }

  /** Returns the last stored change of a record. */
  public Optional<RecordChange> lastChange(RecordKind kind, String name) {
    return Optional.ofNullable(changes.get(new RecordId(kind, name)));
  }

  /** Returns every record, in no particular order. */
  public Collection<OperatorRecord> records() {
    return Collections.unmodifiableCollection(records.values());
  }

  /** Returns a record. */
  public Optional<OperatorRecord> find(RecordKind kind, String name) {
    return Optional.ofNullable(records.get(new RecordId(kind, name)));
  }

  /** Returns a model. */
  public Optional<ModelRecord> model(String name) {
    return find(RecordKind.MODEL, name).map(ModelRecord.class::cast);
  }

  /** Returns an adapter. */
  public Optional<AdapterRecord> adapter(String name) {
    return find(RecordKind.ADAPTER, name).map(AdapterRecord.class::cast);
  }

  /** Returns a plain service. */
  public Optional<ServiceRecord> service(String name) {
    return find(RecordKind.SERVICE, name).map(ServiceRecord.class::cast);
  }

  /** Returns a backend server. */
  public Optional<BackendServerRecord> backendServer(String name) {
    return find(RecordKind.BACKEND_SERVER, name).map(BackendServerRecord.class::cast);
  }

  /** Returns the backend servers, by name. */
  public List<BackendServerRecord> backendServers() {
    return backendServers;
  }

  /** Returns the models, by name. */
  public List<ModelRecord> models() {
    return models;
  }

  /** Returns the policy in force; the defaults if no operator wrote one. */
  public PolicyRecord policy() {
    return find(RecordKind.POLICY, PolicyRecord.NAME)
        .map(PolicyRecord.class::cast)
        .orElse(DEFAULT_POLICY);
  }

  /** Returns the longest timeout of all calls of plain services, in milliseconds. */
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
