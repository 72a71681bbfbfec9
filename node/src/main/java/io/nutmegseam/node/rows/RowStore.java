package io.nutmegseam.node.rows;

import io.nutmegseam.core.platform.Row;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The tables of the platform's store. Results fail with a {@link
 * io.nutmegseam.node.gateway.CallException}.
 */
public interface RowStore {
  /**
   * Rows of one moment, or changes since one.
   *
   * @param rows rows that are there or have changed
   * @param removedKeys keys of rows that have been removed; always empty for a whole read
   * @param version the store's version of that moment
   */
  record ReadResult(List<Row> rows, List<String> removedKeys, long version) {}

  /** Reads all rows of a table. */
  CompletableFuture<ReadResult> readAll(String table);

  /**
   * Reads what has changed in a table.
   *
   * @param table name of the table
   * @param afterVersion version of the last page
   * @param waitMillis how long the store may wait for a change, in milliseconds
   * @return the changes, or empty if the store no longer knows them
   */
  CompletableFuture<Optional<ReadResult>> readChanges(
      String table, long afterVersion, long waitMillis);

  /** Reads one row, or empty if it is not there. */
  CompletableFuture<Optional<Row>> get(String table, String key);

  /**
   * Writes one row if it has the expected version.
   *
   * @param table name of the table
   * @param key key of the row
   * @param expectedVersion the version that it must have; 0 if it must not be there
   * @param value the new value
   * @return the new version, or empty if the row has another version
   */
  CompletableFuture<Optional<Long>> write(
      String table, String key, long expectedVersion, String value);
}
