package io.nutmegseam.node.gateway;

import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.rows.RowStore;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** The path of one node to the store, which can be cut while the store serves others. */
final class StorePath implements RowStore {
  private final RowStore store;
  private volatile boolean cut;
  private volatile int reads;

  StorePath(RowStore store) {
    this.store = store;
  }

  /** Makes all calls of the node fail, or reach the store again. */
  void setCut(boolean next) {
    reads = 0;
    cut = next;
  }

  /** Returns how many changes have been read since the path was cut or healed. */
  int reads() {
    return reads;
  }

  @Override
  public CompletableFuture<ReadResult> readAll(String table) {
    return call(() -> store.readAll(table));
  }

  @Override
  public CompletableFuture<Optional<ReadResult>> readChanges(
      String table, long afterVersion, long waitMillis) {
    return call(
        () ->
            store
                .readChanges(table, afterVersion, waitMillis)
                .whenComplete((result, e) -> count(table, e)));
  }

  @Override
  public CompletableFuture<Optional<Row>> get(String table, String key) {
    return call(() -> store.get(table, key));
  }

  @Override
  public CompletableFuture<Optional<Long>> write(
      String table, String key, long expectedVersion, String value) {
    return call(() -> store.write(table, key, expectedVersion, value));
  }

  private synchronized void count(String table, Throwable failure) {
    reads += failure == null && table.equals("servers") ? 1 : 0;
  }

  private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
    return cut ? TestRowStore.noServer() : call.get();
  }
}
