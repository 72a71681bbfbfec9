package io.nutmegseam.node.rows;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * The contents of a table at one version, as hashes of its rows. The digest of all rows tells
 * whether two nodes have the same contents. Confined to the control thread.
 *
 * @param <T> type of the decoded rows
 */
final class TableContents<T> {
  private final Hashing<T> hashing;
  private final Map<String, Known<T>> knownByKey = new HashMap<>();
  private long digest;

  /**
   * Identifies rows and what nodes forward of them.
   *
   * @param key returns the key of a row
   * @param hash returns a hash of the key and of the forwarded content, the same on all nodes
   */
  record Hashing<T>(Function<T, String> key, ToLongFunction<T> hash) {}

  private record Known<T>(T item, long hash) {}

  /** Creates the contents of an empty table. */
  TableContents(Hashing<T> hashing) {
    this.hashing = hashing;
  }

  /** Returns the digest of all rows. */
  long digest() {
    return digest;
  }

  /** Returns the number of rows. */
  int size() {
    return knownByKey.size();
  }

  /** Returns how many of the rows an update removes. */
  int removedBy(TableUpdate<T> update) {
    if (update.full()) {
      Set<String> present = update.items().stream().map(this::keyOf).collect(Collectors.toSet());
      return (int) knownByKey.keySet().stream().filter(key -> !present.contains(key)).count();
    }
    return (int) update.removedKeys().stream().filter(knownByKey::containsKey).count();
  }

  /** Returns the items whose forwarded content differs from the known one. */
  List<T> changed(List<T> items) {
    return items.stream().filter(item -> hashOf(item) != hashOfKey(keyOf(item))).toList();
  }

  /** Returns the digest that the table has after an update, which is not applied. */
  long digestAfter(TableUpdate<T> update) {
    Map<String, Long> hashByKey = new HashMap<>();
    update.removedKeys().forEach(key -> hashByKey.put(key, 0L));
    update.items().forEach(item -> hashByKey.put(keyOf(item), hashOf(item)));
    long after = update.full() ? 0 : digest;
    for (Map.Entry<String, Long> entry : hashByKey.entrySet()) {
      after += entry.getValue() - (update.full() ? 0 : hashOfKey(entry.getKey()));
    }
    return after;
  }

  /** Applies an update. */
  void apply(TableUpdate<T> update) {
    if (update.full()) {
      knownByKey.clear();
      digest = 0;
    }
    update.removedKeys().forEach(this::remove);
    for (T item : update.items()) {
      long hash = hashOf(item);
      remove(keyOf(item));
      knownByKey.put(keyOf(item), new Known<>(item, hash));
      digest += hash;
    }
  }

  private void remove(String key) {
    digest -= hashOfKey(key);
    knownByKey.remove(key);
  }

  /** Returns the hash of the row with a key; 0 if there is none. */
  private long hashOfKey(String key) {
    Known<T> known = knownByKey.get(key);
    return known == null ? 0 : known.hash();
  }

  private long hashOf(T item) {
    // Most rows are written again without a change.
    Known<T> known = knownByKey.get(keyOf(item));
    return known != null && known.item().equals(item)
        ? known.hash()
        : hashing.hash().applyAsLong(item);
  }

  private String keyOf(T item) {
    return hashing.key().apply(item);
  }
}
