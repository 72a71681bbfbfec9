package io.nutmegseam.node.rows;

import io.nutmegseam.core.platform.Row;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Reads and writes rows of the tables in the platform's store. Results fail with a {@link
 * CallException} if there is no usable response. Versions are {@linkplain
 * io.nutmegseam.core.platform.StorePosition positions}, which rise over the eras of the store.
 */
public interface RowStore {
  /**
   * All rows of a table, or its changes after a version.
   *
   * @param rows all rows, or the changed rows
   * @param removedKeys keys of the removed rows; always empty if all rows were read
   * @param version version of the table with these rows or changes
   */
  record ReadResult(List<Row> rows, List<String> removedKeys, long version) {}

  /** Reads all rows of a table. */
  CompletableFuture<ReadResult> readAll(String table);

  /**
   * Reads the changes of a table after a version.
   *
   * @param table name of the table
   * @param afterVersion version of the previous result
   * @param waitMillis longest time that the store may wait for a change, in milliseconds
   * @return the changes, or empty if the store no longer has the history after that version, or is
   *     in a later era
   */
  CompletableFuture<Optional<ReadResult>> readChanges(
      String table, long afterVersion, long waitMillis);

  /** Reads a row; the result is empty if the row does not exist. */
  CompletableFuture<Optional<Row>> get(String table, String key);

  /**
   * Writes a row if it has the expected version.
   *
   * @param table name of the table
   * @param key key of the row
   * @param expectedVersion version that the row must have; 0 if the row must not exist
   * @param value the new value
   * @return the new version, or empty if the row has another version or the expected one belongs to
   *     an earlier era
   */
  CompletableFuture<Optional<Long>> write(
      String table, String key, long expectedVersion, String value);
}
