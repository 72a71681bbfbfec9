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
 * Joins the transactions of many requests into one commit. A joint commit that is refused is
 * committed again one by one; its outcome being unknown is told to each of its requests.
 */
public final class GroupCommit implements AutoCloseable {
  private static final int MAX_GROUP = 64;

  private final TableService table;
  private final BlockingQueue<Pending> queue = new LinkedBlockingQueue<>();
  private final Thread committer;

  private record Pending(Transaction transaction, CompletableFuture<CommitResult> result) {
    String key() {
      return transaction.puts().get(0).key();
    }
  }

  /**
   * Starts the committing thread.
   *
   * @param table the table service
   */
  public GroupCommit(TableService table) {
    this.table = table;
    this.committer = new Thread(this::run, "group-commit");
    committer.setDaemon(true);
    committer.start();
  }

  /**
   * Commits a transaction that writes one row.
   *
   * @param transaction the transaction
   * @return whether it was committed
   * @throws PlatformException if there is no usable answer
   */
  public CommitResult commit(Transaction transaction) throws PlatformException {
    Pending pending = new Pending(transaction, new CompletableFuture<>());
    queue.add(pending);
    try {
      return pending.result().get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new PlatformException("interrupted while committing", true);
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
      fail(List.copyOf(queue), new PlatformException("the node is shutting down", false));
    }
  }

  /** Takes transactions of different rows; one of the same row waits for the next group. */
  private List<Pending> nextGroup() throws InterruptedException {
    List<Pending> group = new ArrayList<>();
    List<Pending> later = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    Pending first = queue.take();
    while (first != null) {
      if (keys.add(first.key())) {
        group.add(first);
      } else {
        later.add(first);
      }
      first = group.size() < MAX_GROUP ? queue.poll() : null;
    }
    queue.addAll(later);
    return group;
  }

  private void commitGroup(List<Pending> group) {
    Transaction joint = new Transaction(List.of(), List.of(), List.of());
    for (Pending pending : group) {
      joint = joint.and(pending.transaction());
    }
    try {
      CommitResult result = table.commit(joint);
      if (result.committed() || group.size() == 1) {
        group.forEach(pending -> pending.result().complete(result));
      } else {
        group.forEach(this::commitAlone);
      }
    } catch (PlatformException e) {
      fail(group, e);
    }
  }

  private void commitAlone(Pending pending) {
    try {
      pending.result().complete(table.commit(pending.transaction()));
    } catch (PlatformException e) {
      pending.result().completeExceptionally(e);
    }
  }

  private static void fail(List<Pending> group, PlatformException error) {
    group.forEach(pending -> pending.result().completeExceptionally(error));
  }
}
