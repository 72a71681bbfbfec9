package io.nutmegseam.node.rows;

import java.util.List;

/**
 * An update of a table: all of its rows, or the changes after a version.
 *
 * @param items decoded rows: all rows of a full update, the changed rows of a delta
 * @param removedKeys keys of the removed rows; empty in a full update
 * @param afterVersion version after which a delta lists the changes, and which the receiver must
 *     have reached; not used in a full update
 * @param version version of the table after the update
 * @param full whether the update contains the full table
 * @param ageMillis time since the store sent the rows, in milliseconds
 * @param unsettledMillis time for which lapsed rows may still return after an outage of the store,
 *     in milliseconds; 0 if there was none
 * @param <T> type of the decoded rows
 */
public record TableUpdate<T>(
    List<T> items,
    List<String> removedKeys,
    long afterVersion,
    long version,
    boolean full,
    long ageMillis,
    long unsettledMillis) {
  /** Creates an update with copies of the lists. */
  public TableUpdate {
    items = List.copyOf(items);
    removedKeys = List.copyOf(removedKeys);
  }

  /** Returns a copy with another time for which lapsed rows may still return. */
  TableUpdate<T> withUnsettledMillis(long millis) {
    return new TableUpdate<>(items, removedKeys, afterVersion, version, full, ageMillis, millis);
  }

  /** Returns a copy with other items. */
  public TableUpdate<T> withItems(List<T> newItems) {
    return new TableUpdate<>(
        newItems, removedKeys, afterVersion, version, full, ageMillis, unsettledMillis);
  }
}
