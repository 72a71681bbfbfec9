package io.nutmegseam.core.platform;

import java.util.List;

/** The platform's transactional table service. Calls block until an answer or a timeout. */
public interface TableService {
  /**
   * Commits a transaction.
   *
   * @param transaction the checks and writes
   * @return whether it was committed
   * @throws PlatformException if there is no usable answer; the write may have taken effect
   */
  CommitResult commit(Transaction transaction) throws PlatformException;

  /**
   * Reads the rows of a key range that changed after a version, in version order.
   *
   * @param prefix prefix of the keys
   * @param sinceVersion only rows with a higher version; 0 for all
   * @param limit most rows to return
   * @return the rows
   * @throws PlatformException if there is no usable answer
   */
  List<Row> range(String prefix, long sinceVersion, int limit) throws PlatformException;
}
