package io.nutmegseam.standin.platform;

import io.nutmegseam.core.platform.CommitResult;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.Transaction;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/** Rows in memory with transactions, compare-and-set and range reads by version. */
public final class TableStore {
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private long version;
  private long commits;
  private long reads;

  /** Commits a transaction if every check holds. */
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

  /** Returns the rows of a key range with a higher version, in version order. */
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
