package io.nutmegseam.core.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * A transaction: all writes take effect if every check holds, else none does.
 *
 * @param checks expected versions
 * @param puts rows to write
 * @param deletes keys to remove
 */
public record Transaction(List<Check> checks, List<Put> puts, List<String> deletes) {
  /** The version of a row that is not there. */
  public static final long ABSENT = 0;

  /**
   * Expects a row at a version.
   *
   * @param key the row's key
   * @param version the expected version, or {@link #ABSENT}
   */
  public record Check(String key, long version) {}

  /**
   * Writes a row.
   *
   * @param key the row's key
   * @param value the new value, as JSON text
   */
  public record Put(String key, String value) {}

  /**
   * Returns a compare-and-set of one row.
   *
   * @param key the row's key
   * @param expectedVersion the expected version, or {@link #ABSENT}
   * @param value the new value
   */
  public static Transaction compareAndSet(String key, long expectedVersion, String value) {
    return new Transaction(
        List.of(new Check(key, expectedVersion)), List.of(new Put(key, value)), List.of());
  }

  /** Returns one transaction that does the work of two. */
  public Transaction and(Transaction other) {
    return new Transaction(
        joined(checks, other.checks), joined(puts, other.puts), joined(deletes, other.deletes));
  }

  private static <T> List<T> joined(List<T> first, List<T> second) {
    List<T> all = new ArrayList<>(first);
    all.addAll(second);
    return List.copyOf(all);
  }
}
