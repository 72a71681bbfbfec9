package io.nutmegseam.node.rows;

import io.nutmegseam.core.platform.Row;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Returns the next scripted result for each call, and fails the call if there is none. */
final class ScriptedRowStore implements RowStore {
  private final List<CompletableFuture<Optional<ReadResult>>> results = new ArrayList<>();
  private int calls;

  /** Returns the number of reads. */
  int calls() {
    return calls;
  }

  void addResult(ReadResult result) {
    results.add(CompletableFuture.completedFuture(Optional.of(result)));
  }

  void addMissingHistory() {
    results.add(CompletableFuture.completedFuture(Optional.empty()));
  }

  CompletableFuture<Optional<ReadResult>> addPendingResult() {
    results.add(new CompletableFuture<>());
    return results.get(results.size() - 1);
  }

  private CompletableFuture<Optional<ReadResult>> next() {
    calls++;
    return results.isEmpty()
        ? CompletableFuture.failedFuture(new IllegalStateException("the store is down"))
        : results.remove(0);
  }

  @Override
  public CompletableFuture<ReadResult> readAll(String name) {
    return next().thenApply(Optional::orElseThrow);
  }

  @Override
  public CompletableFuture<Optional<ReadResult>> readChanges(
      String name, long after, long waitMillis) {
    return next();
  }

  @Override
  public CompletableFuture<Optional<Row>> get(String name, String key) {
    throw new UnsupportedOperationException(key);
  }

  @Override
  public CompletableFuture<Optional<Long>> write(
      String name, String key, long expectedVersion, String value) {
    throw new UnsupportedOperationException(key);
  }
}
