package io.nutmegseam.node.rows;

import java.util.List;
import java.util.OptionalLong;

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
 * @param digest digest of the whole table at this version; empty from nodes of earlier builds
 * @param <T> type of the decoded rows
 */
public record TableUpdate<T>(
    List<T> items,
    List<String> removedKeys,
    long afterVersion,
    long version,
    boolean full,
    long ageMillis,
    long unsettledMillis,
    OptionalLong digest) {
  /** Creates an update with copies of the lists. */
  public TableUpdate {
    items = List.copyOf(items);
    removedKeys = List.copyOf(removedKeys);
  }

  /** Creates an update without a digest. */
  public TableUpdate(
      List<T> items,
      List<String> removedKeys,
      long afterVersion,
      long version,
      boolean full,
      long ageMillis,
      long unsettledMillis) {
    this(
        items,
        removedKeys,
        afterVersion,
        version,
        full,
        ageMillis,
        unsettledMillis,
        OptionalLong.empty());
  }

  /** Returns a copy with another time for which lapsed rows may still return. */
  TableUpdate<T> withUnsettledMillis(long millis) {
    return new TableUpdate<>(
        items, removedKeys, afterVersion, version, full, ageMillis, millis, digest);
  }

  /**
   * Returns the update as it is forwarded: with the items that differ from the contents at a
   * version, and the digest of the contents after it. Only a node that has reached that version
   * knows the items that are left out.
   */
  TableUpdate<T> reducedTo(List<T> changed, long contentsVersion, long digestAfter) {
    return new TableUpdate<>(
        changed,
        removedKeys,
        contentsVersion,
        version,
        full,
        ageMillis,
        unsettledMillis,
        OptionalLong.of(digestAfter));
  }
}
