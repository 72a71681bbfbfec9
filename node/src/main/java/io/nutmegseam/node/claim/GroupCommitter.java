package io.nutmegseam.node.claim;

import io.nutmegseam.core.platform.CommitResult;
import io.nutmegseam.core.platform.PlatformException;
import io.nutmegseam.core.platform.TableService;
import io.nutmegseam.core.platform.Transaction;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Combines the transactions of concurrent requests into one commit. If the table service does not
 * commit the combined transaction, each transaction is committed separately. If the combined commit
 * gets no usable response, the commit of each request fails with the same error.
 */
public final class GroupCommitter implements AutoCloseable {
  private static final int MAX_GROUP_TRANSACTIONS = 64;

  private final TableService table;
  private final BlockingQueue<PendingCommit> queue = new LinkedBlockingQueue<>();
  private final Thread committer;

  private record PendingCommit(Transaction transaction, CompletableFuture<CommitResult> result) {
    String key() {
      return transaction.puts().get(0).key();
    }
  }

  /**
   * Starts the thread that commits.
   *
   * @param table the table service
   */
  public GroupCommitter(TableService table) {
    this.table = table;
    this.committer = new Thread(this::run, "group-commit");
    committer.setDaemon(true);
    committer.start();
  }

  /**
   * Commits a transaction that writes one row. Blocks until the outcome is known.
   *
   * @param transaction the transaction
   * @return whether the transaction was committed
   * @throws PlatformException if there is no usable response, or the calling thread is interrupted
   */
  public CommitResult commit(Transaction transaction) throws PlatformException {
    PendingCommit pending = new PendingCommit(transaction, new CompletableFuture<>());
    queue.add(pending);
    try {
      return pending.result().get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new PlatformException("interrupted while waiting for a commit", true);
    } catch (ExecutionException e) {
      if (e.getCause() instanceof PlatformException cause) {
        throw new PlatformException(cause.getMessage(), cause.mayHaveApplied());
      }
      throw new PlatformException(String.valueOf(e.getCause()), true);
    }
  }

  @Override
  public void close() {
    committer.interrupt();
  }

  private void run() {
    try {
      while (true) {
        commitGroup(nextGroup());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      failAll(List.copyOf(queue), new PlatformException("the node is shutting down", false));
    }
  }

  /**
   * Waits for a transaction, and collects it and the queued ones of other rows. Transactions of a
   * row that is already in the group return to the queue.
   */
  private List<PendingCommit> nextGroup() throws InterruptedException {
    List<PendingCommit> group = new ArrayList<>();
    List<PendingCommit> deferred = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    PendingCommit next = queue.take();
    while (next != null) {
      if (keys.add(next.key())) {
        group.add(next);
      } else {
        deferred.add(next);
      }
      next = group.size() < MAX_GROUP_TRANSACTIONS ? queue.poll() : null;
    }
    queue.addAll(deferred);
    return group;
  }

  private void commitGroup(List<PendingCommit> group) {
    Transaction combined = new Transaction(List.of(), List.of(), List.of());
    for (PendingCommit pending : group) {
      combined = combined.and(pending.transaction());
    }
    try {
      CommitResult result = table.commit(combined);
      if (result.committed() || group.size() == 1) {
        group.forEach(pending -> pending.result().complete(result));
      } else {
        group.forEach(this::commitSeparately);
      }
    } catch (PlatformException e) {
      failAll(group, e);
    }
  }

  private void commitSeparately(PendingCommit pending) {
    try {
      pending.result().complete(table.commit(pending.transaction()));
    } catch (PlatformException e) {
      pending.result().completeExceptionally(e);
    }
  }

  private static void failAll(List<PendingCommit> group, PlatformException error) {
    group.forEach(pending -> pending.result().completeExceptionally(error));
  }
}
