package io.nutmegseam.core.platform;

import java.util.List;

/** The platform's transactional table service. Calls block until a response or a timeout. */
public interface TableService {
  /**
   * Commits a transaction.
   *
   * @param transaction the checks and writes
   * @return whether the transaction was committed, and its commit number
   * @throws PlatformException if there is no valid response; the writes may have taken effect
   */
  CommitResult commit(Transaction transaction) throws PlatformException;

  /**
   * Reads the rows with a key prefix that were written after a version, in version order.
   *
   * @param prefix prefix of the keys
   * @param sinceVersion version after which the rows were written; 0 for all rows
   * @param limit maximum number of rows to return
   * @return the rows
   * @throws PlatformException if there is no valid response
   */
  List<Row> range(String prefix, long sinceVersion, int limit) throws PlatformException;
}
