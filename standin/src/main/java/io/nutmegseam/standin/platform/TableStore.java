package io.nutmegseam.standin.platform;

import io.nutmegseam.core.platform.CommitResult;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.Transaction;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/** Stores rows in memory, with conditional transactions and range reads of changed rows. */
public final class TableStore {
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private long version;
  private long commits;
  private long reads;

  /** Commits a transaction if every check holds; otherwise writes nothing. */
  public synchronized CommitResult commit(Transaction transaction) {
    for (Transaction.Check check : transaction.checks()) {
      Row row = rows.get(check.key());
      long actual = row == null ? Transaction.ABSENT : row.version();
      if (actual != check.version()) {
        return new CommitResult(false, 0);
      }
    }
    version++;
    commits++;
    transaction.puts().forEach(p -> rows.put(p.key(), new Row(p.key(), p.value(), version)));
    transaction.deletes().forEach(rows::remove);
    return new CommitResult(true, version);
  }

  /**
   * Returns the rows whose key starts with a prefix and that changed after a version, sorted by
   * version and then by key.
   *
   * @param prefix prefix of the keys
   * @param sinceVersion version after which the returned rows were written
   * @param limit maximum number of rows
   */
  public synchronized List<Row> readRange(String prefix, long sinceVersion, int limit) {
    reads++;
    List<Row> found = new ArrayList<>();
    for (Row row : rows.tailMap(prefix).values()) {
      if (!row.key().startsWith(prefix)) {
        break;
      }
      if (row.version() > sinceVersion) {
        found.add(row);
      }
    }
    found.sort(Comparator.comparingLong(Row::version).thenComparing(Row::key));
    return found.size() > limit ? List.copyOf(found.subList(0, limit)) : found;
  }

  /** Returns the number of committed transactions. */
  public synchronized long commitCount() {
    return commits;
  }

  /** Returns the number of range reads. */
  public synchronized long readCount() {
    return reads;
  }
}
