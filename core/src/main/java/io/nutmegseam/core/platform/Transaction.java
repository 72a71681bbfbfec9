package io.nutmegseam.core.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * A transaction: all writes take effect if every check succeeds, otherwise none does.
 *
 * @param checks expected versions of rows
 * @param puts rows to write
 * @param deletes keys of rows to delete
 */
public record Transaction(List<Check> checks, List<Put> puts, List<String> deletes) {
  /** The expected version of a row that must not exist. */
  public static final long ABSENT = 0;

  /**
   * A check that a row has an expected version.
   *
   * @param key key of the row
   * @param version the expected version, or {@link #ABSENT}
   */
  public record Check(String key, long version) {}

  /**
   * A write of a row.
   *
   * @param key key of the row
   * @param value the new value, as JSON text
   */
  public record Put(String key, String value) {}

  /**
   * Returns a transaction that writes a row if it has the expected version.
   *
   * @param key key of the row
   * @param expectedVersion the expected version, or {@link #ABSENT}
   * @param value the new value, as JSON text
   */
  public static Transaction compareAndSet(String key, long expectedVersion, String value) {
    return new Transaction(
        List.of(new Check(key, expectedVersion)), List.of(new Put(key, value)), List.of());
  }

  /** Returns a transaction with the checks, writes and deletes of this one and another one. */
  public Transaction and(Transaction other) {
    return new Transaction(
        concatenate(checks, other.checks),
        concatenate(puts, other.puts),
        concatenate(deletes, other.deletes));
  }

  private static <T> List<T> concatenate(List<T> first, List<T> second) {
    List<T> all = new ArrayList<>(first);
    all.addAll(second);
    return List.copyOf(all);
  }
}
