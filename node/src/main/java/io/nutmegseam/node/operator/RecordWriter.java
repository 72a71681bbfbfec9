package io.nutmegseam.node.operator;

import io.nutmegseam.core.config.Catalog;
import io.nutmegseam.core.config.OperatorRecord;
import io.nutmegseam.core.config.ParsedRecord;
import io.nutmegseam.core.config.RecordChange;
import io.nutmegseam.core.config.RecordKind;
import io.nutmegseam.core.config.RecordParser;
import io.nutmegseam.core.config.ReferenceChecker;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.json.ValidationError;
import io.nutmegseam.core.lease.LeaseRow;
import io.nutmegseam.core.platform.CommitResult;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.RowCodec;
import io.nutmegseam.core.platform.TableService;
import io.nutmegseam.core.platform.Transaction;
import io.nutmegseam.node.control.ConfigRows;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * Writes operator records. Each change is one transaction that is conditional on the newest
 * revision, so changes of several operators are applied one after the other.
 */
public final class RecordWriter {
  private static final int MAX_ATTEMPTS = 5;
  private static final int MAX_ROWS = 2_000;
  private static final long RETRY_AFTER_MILLIS = 2_000;

  private final TableService table;
  private final Supplier<Catalog> catalog;
  private final Supplier<List<LeaseRow>> liveNodes;
  private final Clock wallClock;
  private final EventSink events;

  /**
   * Creates the writer.
   *
   * @param table the table service
   * @param catalog returns the active records
   * @param liveNodes returns the leases of live nodes
   * @param wallClock wall clock
   * @param events event log
   */
  public RecordWriter(
      TableService table,
      Supplier<Catalog> catalog,
      Supplier<List<LeaseRow>> liveNodes,
      Clock wallClock,
      EventSink events) {
    this.events = events;
    this.table = table;
    this.catalog = catalog;
    this.liveNodes = liveNodes;
    this.wallClock = wallClock;
  }

  /**
   * Identifies a change that an operator requests.
   *
   * @param changeId id of the change; a change with the same id is applied only once
   * @param operator name of the operator, for the audit rows
   * @param expectedRevision revision on which the change is based; empty to accept any
   */
  public record ChangeRequest(String changeId, String operator, OptionalLong expectedRevision) {}

  /**
   * Writes the records of a file.
   *
   * @param request identifies the change
   * @param text JSON text of the file, one record or an array of records
   * @return the revision of the change
   * @throws RequestException if a record is not valid or the change is refused
   */
  public long apply(ChangeRequest request, String text) throws RequestException {
    List<ValidationError> errors = new ArrayList<>();
    List<ParsedRecord> parsedRecords = RecordParser.parse(text, errors);
    if (errors.isEmpty()) {
      checkReferences(parsedRecords, errors);
    }
    if (!errors.isEmpty()) {
      throw invalid(errors);
    }
    checkSchemaVersions(parsedRecords);
    List<RecordChange> changes = new ArrayList<>();
    for (ParsedRecord record : parsedRecords) {
      changes.add(
          new RecordChange(
              record.record().kind(), record.record().name(), 0, Optional.of(record.text())));
    }
    return commit(request, changes);
  }

  /**
   * Deletes a record.
   *
   * @param request identifies the change
   * @param kind the record kind
   * @param name the record's name
   * @return the revision of the change
   * @throws RequestException if the record does not exist, another record refers to it, or the
   *     change is refused
   */
  public long delete(ChangeRequest request, RecordKind kind, String name) throws RequestException {
    if (catalog.get().find(kind, name).isEmpty()) {
      throw new RequestException(
          ErrorKind.UNKNOWN_RECORD, "no %s \"%s\"".formatted(kind.wireName(), name));
    }
    List<OperatorRecord> remaining =
        catalog.get().records().stream()
            .filter(r -> !(r.kind() == kind && r.name().equals(name)))
            .toList();
    List<ValidationError> errors = new ArrayList<>();
    ReferenceChecker references = new ReferenceChecker(remaining);
    remaining.forEach(r -> references.check(new ParsedRecord(r, 1, 1, "", 0), errors));
    if (!errors.isEmpty()) {
      throw invalid(errors);
    }
    return commit(request, List.of(new RecordChange(kind, name, 0, Optional.empty())));
  }

  private void checkReferences(List<ParsedRecord> parsedRecords, List<ValidationError> errors) {
    ReferenceChecker references = new ReferenceChecker(catalog.get().records());
    parsedRecords.forEach(record -> references.addExisting(record.record()));
    parsedRecords.forEach(record -> references.check(record, errors));
  }

  private void checkSchemaVersions(List<ParsedRecord> parsedRecords) throws RequestException {
    for (LeaseRow node : liveNodes.get()) {
      for (ParsedRecord record : parsedRecords) {
        if (record.schemaVersion() > node.newestSchemaVersion()) {
          throw new RequestException(
              ErrorKind.UNREADABLE_VERSION,
              "node \"%s\" can read schemaVersion up to %d, the record has %d"
                  .formatted(node.node(), node.newestSchemaVersion(), record.schemaVersion()),
              RETRY_AFTER_MILLIS);
        }
      }
    }
  }

  private static RequestException invalid(List<ValidationError> errors) {
    StringBuilder message = new StringBuilder();
    for (ValidationError error : errors) {
      message.append(message.isEmpty() ? "" : "\n").append(error.describe("record"));
    }
    return new RequestException(ErrorKind.INVALID_RECORD, message.toString());
  }

  private long commit(ChangeRequest request, List<RecordChange> changes) throws RequestException {
    try {
      for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        OptionalLong revision = tryCommit(request, changes);
        if (revision.isPresent()) {
          events.record(
              EventKind.CONFIG_CHANGED,
              Long.toString(revision.getAsLong()),
              request.operator() + " " + request.changeId());
          return revision.getAsLong();
        }
      }
    } catch (PlatformException e) {
      throw new RequestException(
          ErrorKind.PLATFORM_UNAVAILABLE,
          "the table service did not confirm the change \"%s\": %s"
              .formatted(request.changeId(), e.getMessage()),
          RETRY_AFTER_MILLIS);
    }
    throw new RequestException(
        ErrorKind.REVISION_CONFLICT,
        "the change was not committed in %d attempts, other changes may have been first"
            .formatted(MAX_ATTEMPTS),
        RETRY_AFTER_MILLIS);
  }

  /**
   * Tries to commit once. Returns empty if another change was committed first or the commit failed.
   */
  private OptionalLong tryCommit(ChangeRequest request, List<RecordChange> changes)
      throws PlatformException, RequestException {
    Optional<Row> head = table.range(ConfigRows.HEAD_KEY, 0, 1).stream().findFirst();
    long headRevision = head.map(ConfigRows::headRevision).orElse(0L);
    OptionalLong earlierRevision = findChange(request.changeId());
    if (earlierRevision.isPresent()) {
      return earlierRevision;
    }
    long expectedRevision = request.expectedRevision().orElse(headRevision);
    if (expectedRevision != headRevision) {
      throw new RequestException(
          ErrorKind.REVISION_CONFLICT,
          "the newest revision is %d, not %d".formatted(headRevision, expectedRevision));
    }
    long headVersion = head.map(Row::version).orElse(Transaction.ABSENT);
    try {
      CommitResult result =
          table.commit(transaction(request, changes, headVersion, headRevision + 1));
      return result.committed() ? OptionalLong.of(headRevision + 1) : OptionalLong.empty();
    } catch (PlatformException e) {
      OptionalLong appliedRevision = findChange(request.changeId());
      if (appliedRevision.isPresent() || !e.mayHaveApplied()) {
        return appliedRevision;
      }
      return OptionalLong.empty();
    }
  }

  /**
   * Returns the revision of a change that is already applied, such as one whose response was lost.
   */
  private OptionalLong findChange(String changeId) throws PlatformException {
    return table.range(ConfigRows.changeKey(changeId), 0, MAX_ROWS).stream()
        .filter(row -> row.key().equals(ConfigRows.changeKey(changeId)))
        .mapToLong(ConfigRows::headRevision)
        .findFirst();
  }

  private Transaction transaction(
      ChangeRequest request, List<RecordChange> changes, long headVersion, long revision) {
    List<Transaction.Put> puts = new ArrayList<>();
    StringBuilder summary = new StringBuilder();
    for (RecordChange change : changes) {
      ConfigRows.StoredRecord stored =
          new ConfigRows.StoredRecord(
              change.kind().wireName(),
              change.name(),
              revision,
              change.text().isEmpty(),
              change.text().orElse(""));
      puts.add(
          new Transaction.Put(
              ConfigRows.recordKey(change.kind(), change.name()), RowCodec.encode(stored)));
      String verb = change.text().isEmpty() ? "delete " : "apply ";
      summary.append(summary.isEmpty() ? "" : ", ").append(verb).append(change.kind().wireName());
      summary.append("/").append(change.name());
    }
    ConfigRows.HeadRow head = new ConfigRows.HeadRow(revision);
    ConfigRows.AuditRow audit =
        new ConfigRows.AuditRow(
            revision,
            request.changeId(),
            request.operator(),
            summary.toString(),
            wallClock.millis());
    puts.add(new Transaction.Put(ConfigRows.HEAD_KEY, RowCodec.encode(head)));
    puts.add(new Transaction.Put(ConfigRows.auditKey(revision), RowCodec.encode(audit)));
    puts.add(new Transaction.Put(ConfigRows.changeKey(request.changeId()), RowCodec.encode(head)));
    return new Transaction(
        List.of(
            new Transaction.Check(ConfigRows.HEAD_KEY, headVersion),
            new Transaction.Check(ConfigRows.changeKey(request.changeId()), Transaction.ABSENT)),
        List.copyOf(puts),
        List.of());
  }
}
