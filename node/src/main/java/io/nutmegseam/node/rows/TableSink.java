package io.nutmegseam.node.rows;

/**
 * Applies updates of a table to the state of this node.
 *
 * @param <T> type of the decoded rows
 */
@FunctionalInterface
public interface TableSink<T> {
  /** Applies an update. */
  void apply(TableUpdate<T> update);

  /** Limits the time for which rows that are missing may still return, in milliseconds. */
  default void limitUnsettled(long millis) {}
}
