package io.nutmegseam.node.connection;

import java.util.Arrays;

/**
 * The ids of the requests that a connection has carried. A response too many may follow any of them
 * for as long as the connection lives, so that a connection must not carry an id twice. Ids are
 * kept as hash codes: two ids with the same one only cost a further connection.
 */
final class CarriedIds {
  private static final int INITIAL_CAPACITY = 8;

  private final int capacity;
  private int[] hashes = new int[INITIAL_CAPACITY];
  private int size;

  /**
   * Creates an empty set.
   *
   * @param capacity number of ids after which the connection must carry no further one; at least 1
   */
  CarriedIds(int capacity) {
    if (capacity < 1) {
      throw new IllegalArgumentException("capacity " + capacity + " is less than 1");
    }
    this.capacity = capacity;
  }

  /** Returns whether the connection must carry no further request. */
  boolean isFull() {
    return size >= capacity;
  }

  /** Adds the id of a request that is sent. */
  void add(String id) {
    if (size == hashes.length) {
      hashes = Arrays.copyOf(hashes, 2 * size);
    }
    hashes[size++] = id.hashCode();
  }

  /** Returns whether the connection may have carried a request with an id. */
  boolean contains(String id) {
    int hash = id.hashCode();
    return Arrays.stream(hashes, 0, size).anyMatch(carried -> carried == hash);
  }
}
