package io.nutmegseam.node.rows;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.RowWriteAnswer;
import io.nutmegseam.node.peer.generated.RowWriteAsk;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Writes rows of the project's own table through a node that reaches the store, for one that does
 * not. Confined to the control thread.
 */
public final class PeerWriteRelay {
  /** Longer than a node waits for the store. */
  private static final long TIMEOUT_MILLIS = 1_000;

  private final RowStore rows;
  private final String table;
  private final PeerTransport outbox;
  private final Timer timer;
  private final EventSink events;
  private final Map<Long, CompletableFuture<Optional<Long>>> waitingById = new HashMap<>();
  private long lastId;

  /** Runs tasks later. */
  @FunctionalInterface
  public interface Timer {
    /** Runs a task after a time in milliseconds. */
    void schedule(long delayMillis, Runnable task);
  }

  /**
   * Creates the writes.
   *
   * @param rows the store
   * @param table the project's own table, the only one that is written
   * @param outbox sends to other nodes
   * @param timer runs tasks on the control thread
   * @param events the log
   */
  public PeerWriteRelay(
      RowStore rows, String table, PeerTransport outbox, Timer timer, EventSink events) {
    this.rows = rows;
    this.table = table;
    this.outbox = outbox;
    this.timer = timer;
    this.events = events;
  }

  /**
   * Asks a node to write a row if it has the expected version.
   *
   * @param node the node
   * @param key key of the row
   * @param expectedVersion the version that it must have; 0 if it must not be there
   * @param value the new value
   * @return the new version, or empty if the row has another version
   */
  public CompletableFuture<Optional<Long>> write(
      String node, String key, long expectedVersion, String value) {
    long id = ++lastId;
    CompletableFuture<Optional<Long>> outcome = new CompletableFuture<>();
    waitingById.put(id, outcome);
    RowWriteAsk ask =
        RowWriteAsk.newBuilder()
            .setId(id)
            .setKey(key)
            .setExpectedVersion(expectedVersion)
            .setValue(value)
            .build();
    events.record(EventKind.WRITE_RELAYED, key, "through " + node + ", version " + expectedVersion);
    if (outbox.send(node, PeerFrame.newBuilder().setRowWriteAsk(ask))) {
      timer.schedule(TIMEOUT_MILLIS, () -> fail(id, "no answer from " + node));
    } else {
      fail(id, "no connection to " + node);
    }
    return outcome;
  }

  /** Writes a row for another node. */
  public void onRequest(String node, RowWriteAsk ask) {
    rows.write(table, ask.getKey(), ask.getExpectedVersion(), ask.getValue())
        .whenComplete(
            (version, e) -> {
              RowWriteAnswer.Builder answer = RowWriteAnswer.newBuilder().setId(ask.getId());
              if (e == null) {
                answer
                    .setOutcome(
                        version.isPresent()
                            ? RowWriteAnswer.Outcome.WRITTEN
                            : RowWriteAnswer.Outcome.OTHER_VERSION)
                    .setVersion(version.orElse(0L));
              }
              outbox.send(node, PeerFrame.newBuilder().setRowWriteAnswer(answer));
            });
  }

  /** Takes a node's answer. */
  public void onResponse(RowWriteAnswer answer) {
    switch (answer.getOutcome()) {
      case WRITTEN -> settle(answer.getId(), Optional.of(answer.getVersion()));
      case OTHER_VERSION -> settle(answer.getId(), Optional.empty());
      default -> fail(answer.getId(), "the other node does not know the outcome");
    }
  }

  private void settle(long id, Optional<Long> version) {
    CompletableFuture<Optional<Long>> outcome = waitingById.remove(id);
    if (outcome != null) {
      outcome.complete(version);
    }
  }

  private void fail(long id, String reason) {
    CompletableFuture<Optional<Long>> outcome = waitingById.remove(id);
    if (outcome != null) {
      outcome.completeExceptionally(new CallException(reason, true));
    }
  }
}
