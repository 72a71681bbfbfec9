package io.nutmegseam.node.rows;

import java.util.List;

/**
 * What was read of a table: all of it, or what has changed since a version.
 *
 * @param items rows that are there or have changed, decoded
 * @param removedKeys keys of rows that have been removed; empty for a whole table
 * @param afterVersion version up to which the table must be known already
 * @param version version up to which it is known with these changes
 * @param full whether this is the whole table
 * @param ageMillis time since the store answered, in milliseconds
 * @param unsettledMillis time for which lapsed rows may still return, since the store has only just
 *     come back, in milliseconds
 * @param <T> what rows are decoded to
 */
public record TableUpdate<T>(
    List<T> items,
    List<String> removedKeys,
    long afterVersion,
    long version,
    boolean full,
    long ageMillis,
    long unsettledMillis) {
  /** Creates a batch. */
  public TableUpdate {
    items = List.copyOf(items);
    removedKeys = List.copyOf(removedKeys);
  }

  /** Returns a copy with other items. */
  public TableUpdate<T> withItems(List<T> next) {
    return new TableUpdate<>(
        next, removedKeys, afterVersion, version, full, ageMillis, unsettledMillis);
  }
}
