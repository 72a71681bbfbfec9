package io.nutmegseam.node.rows;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.platform.Row;
import java.util.Optional;
import java.util.function.Function;

/**
 * Decodes rows of a table, and tells what nodes forward of them.
 *
 * @param decoder decodes a row; empty for a row to ignore
 * @param hashing identifies rows and what nodes forward of them
 * @param <T> type of the decoded rows
 */
public record RowFormat<T>(Function<Row, Optional<T>> decoder, TableContents.Hashing<T> hashing) {
  /** Returns the format of rows that are not decoded. */
  public static RowFormat<Row> rows() {
    return new RowFormat<>(Optional::of, RowHashes.ROWS);
  }

  /** Returns the format of the entries of servers. */
  public static RowFormat<ServerEntry> servers(Function<Row, Optional<ServerEntry>> decoder) {
    return new RowFormat<>(decoder, RowHashes.SERVERS);
  }
}
