package io.nutmegseam.node.control;

import io.nutmegseam.core.config.RecordChange;
import io.nutmegseam.core.config.RecordKind;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.RowCodec;
import java.util.Optional;

/** The rows of the configuration in the table service. */
public final class ConfigRows {
  /** Key of the row that holds the newest revision. */
  public static final String HEAD_KEY = "config/head";

  /** Prefix of the rows that hold records. */
  public static final String RECORD_PREFIX = "config/record/";

  /** Prefix of the rows that say who changed what. */
  public static final String AUDIT_PREFIX = "config/audit/";

  /** Prefix of the rows that say under which revision a change took effect. */
  public static final String CHANGE_PREFIX = "config/change/";

  private static final int REVISION_DIGITS = 12;

  private ConfigRows() {}

  /**
   * The head row.
   *
   * @param revision the newest revision
   */
  public record Head(long revision) {}

  /**
   * A stored record.
   *
   * @param kind word of the record kind
   * @param name the record's name
   * @param revision the revision that wrote it
   * @param deleted whether the revision deleted it
   * @param text the record as the operator wrote it; empty if deleted
   */
  public record StoredRecord(
      String kind, String name, long revision, boolean deleted, String text) {
    /** Returns the change that the row stands for, or empty if its kind is not known here. */
    public Optional<RecordChange> toChange() {
      Optional<String> body = deleted ? Optional.empty() : Optional.of(text);
      return RecordKind.fromWireName(kind).map(k -> new RecordChange(k, name, revision, body));
    }
  }

  /**
   * An audit row.
   *
   * @param revision the revision
   * @param changeId names the operator's change
   * @param operator who made it
   * @param summary what was changed
   * @param atMillis wall-clock time, in milliseconds since the epoch
   */
  public record Audit(
      long revision, String changeId, String operator, String summary, long atMillis) {}

  /** Returns the revision in a head row; 0 if it cannot be read. */
  public static long headRevision(Row row) {
    return RowCodec.decode(row.value(), Head.class).map(Head::revision).orElse(0L);
  }

  /** Returns the key of a record's row. */
  public static String recordKey(RecordKind kind, String name) {
    return RECORD_PREFIX + kind.wireName() + "/" + name;
  }

  /** Returns the key of the row that says under which revision a change took effect. */
  public static String changeKey(String changeId) {
    return CHANGE_PREFIX + changeId;
  }

  /** Returns the key of an audit row; keys sort by revision. */
  public static String auditKey(long revision) {
    String digits = Long.toString(revision);
    return AUDIT_PREFIX + "0".repeat(Math.max(0, REVISION_DIGITS - digits.length())) + digits;
  }
}
