package io.nutmegseam.node.control;

import io.nutmegseam.core.config.RecordChange;
import io.nutmegseam.core.config.RecordKind;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.RowCodec;
import java.util.Optional;

/** Keys and values of the configuration rows in the table service. */
public final class ConfigRows {
  /** Key of the row that holds the newest revision. */
  public static final String HEAD_KEY = "config/head";

  /** Prefix of the keys of the rows that hold records. */
  public static final String RECORD_PREFIX = "config/record/";

  /** Prefix of the keys of audit rows; each describes one change and who made it. */
  public static final String AUDIT_PREFIX = "config/audit/";

  /** Prefix of the keys of the rows that map the ID of a change to its revision. */
  public static final String CHANGE_PREFIX = "config/change/";

  private static final int MIN_REVISION_DIGITS = 12;

  private ConfigRows() {}

  /**
   * Value of the head row, and of the row that maps the ID of a change to its revision.
   *
   * @param revision the newest revision; in the row of a change, the revision of that change
   */
  public record HeadRow(long revision) {}

  /**
   * Value of a record's row: the newest change of the record.
   *
   * @param kind name of the record kind, such as {@code Model}
   * @param name name of the record
   * @param revision the revision that wrote or deleted the record
   * @param deleted whether the revision deleted the record
   * @param text the record as the operator wrote it; empty if deleted
   */
  public record StoredRecord(
      String kind, String name, long revision, boolean deleted, String text) {
    /** Returns the change that the row stores, or empty if its record kind is unknown. */
    public Optional<RecordChange> toChange() {
      Optional<String> body = deleted ? Optional.empty() : Optional.of(text);
      return RecordKind.fromWireName(kind).map(k -> new RecordChange(k, name, revision, body));
    }
  }

  /**
   * Value of an audit row: who made a change, and what was changed.
   *
   * @param revision the revision that the change created
   * @param changeId ID of the change
   * @param operator name of the operator who made the change
   * @param summary what was changed
   * @param atMillis wall-clock time of the change, in milliseconds since the epoch
   */
  public record AuditRow(
      long revision, String changeId, String operator, String summary, long atMillis) {}

  /** Returns the revision in a head row or in the row of a change; 0 if it is unreadable. */
  public static long headRevision(Row row) {
    return RowCodec.decode(row.value(), HeadRow.class).map(HeadRow::revision).orElse(0L);
  }

  /** Returns the key of a record's row. */
  public static String recordKey(RecordKind kind, String name) {
    return RECORD_PREFIX + kind.wireName() + "/" + name;
  }

  /** Returns the key of the row that maps the ID of a change to its revision. */
  public static String changeKey(String changeId) {
    return CHANGE_PREFIX + changeId;
  }

  /** Returns the key of an audit row. The revision has leading zeros, so that keys sort by it. */
  public static String auditKey(long revision) {
    String digits = Long.toString(revision);
    return AUDIT_PREFIX + "0".repeat(Math.max(0, MIN_REVISION_DIGITS - digits.length())) + digits;
  }
}
