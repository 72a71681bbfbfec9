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
import java.util.concurrent.ThreadLocalRandom;

/**
 * Writes rows of the project's own table through another node while this node cannot reach the
 * store, and executes such writes for other nodes. Confined to the control thread.
 */
public final class PeerWriteRelay {
  /** Longer than the relaying node waits for the store. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;

  private final RowStore store;
  private final String table;
  private final PeerTransport transport;
  private final Timer timer;
  private final EventSink events;
  private final Map<Long, CompletableFuture<Optional<Long>>> pendingById = new HashMap<>();

  /** Begins anywhere, since responses to an earlier process of this node may still arrive. */
  private long lastId = ThreadLocalRandom.current().nextLong();

  /** Schedules tasks. */
  @FunctionalInterface
  public interface Timer {
    /** Runs a task once after a delay, in milliseconds. */
    void schedule(long delayMillis, Runnable task);
  }

  /**
   * Creates the relay.
   *
   * @param store the platform's store
   * @param table the project's own table, the only one that is written
   * @param transport sends frames to other nodes
   * @param timer schedules tasks on the control thread
   * @param events the event log
   */
  public PeerWriteRelay(
      RowStore store, String table, PeerTransport transport, Timer timer, EventSink events) {
    this.store = store;
    this.table = table;
    this.transport = transport;
    this.timer = timer;
    this.events = events;
  }

  /**
   * Sends a node the request to write a row if the row has the expected version. The result fails
   * with a {@link CallException} if the outcome is unknown.
   *
   * @param node name of the relaying node
   * @param key key of the row
   * @param expectedVersion version that the row must have; 0 if the row must not exist
   * @param value the new value
   * @return the new version, or empty if the row has another version
   */
  public CompletableFuture<Optional<Long>> write(
      String node, String key, long expectedVersion, String value) {
    long id = ++lastId;
    CompletableFuture<Optional<Long>> outcome = new CompletableFuture<>();
    pendingById.put(id, outcome);
    RowWriteAsk request =
        RowWriteAsk.newBuilder()
            .setId(id)
            .setKey(key)
            .setExpectedVersion(expectedVersion)
            .setValue(value)
            .build();
    events.record(EventKind.WRITE_RELAYED, key, "through " + node + ", version " + expectedVersion);
    if (transport.send(node, PeerFrame.newBuilder().setRowWriteAsk(request))) {
      timer.schedule(RESPONSE_TIMEOUT_MILLIS, () -> fail(id, "no response from " + node));
    } else {
      fail(id, "no connection to " + node);
    }
    return outcome;
  }

  /** Writes a row for another node and sends the outcome to it. */
  public void onRequest(String node, RowWriteAsk request) {
    store
        .write(table, request.getKey(), request.getExpectedVersion(), request.getValue())
        .whenComplete(
            (version, e) -> {
              RowWriteAnswer.Builder response = RowWriteAnswer.newBuilder().setId(request.getId());
              if (e == null) {
                response
                    .setOutcome(
                        version.isPresent()
                            ? RowWriteAnswer.Outcome.WRITTEN
                            : RowWriteAnswer.Outcome.OTHER_VERSION)
                    .setVersion(version.orElse(0L));
              }
              transport.send(node, PeerFrame.newBuilder().setRowWriteAnswer(response));
            });
  }

  /** Completes the write to which a response belongs; ignores a response after the timeout. */
  public void onResponse(RowWriteAnswer response) {
    switch (response.getOutcome()) {
      case WRITTEN -> complete(response.getId(), Optional.of(response.getVersion()));
      case OTHER_VERSION -> complete(response.getId(), Optional.empty());
      default -> fail(response.getId(), "the relaying node does not know the outcome");
    }
  }

  private void complete(long id, Optional<Long> version) {
    CompletableFuture<Optional<Long>> outcome = pendingById.remove(id);
    if (outcome != null) {
      outcome.complete(version);
    }
  }

  private void fail(long id, String reason) {
    CompletableFuture<Optional<Long>> outcome = pendingById.remove(id);
    if (outcome != null) {
      outcome.completeExceptionally(new CallException(reason, true));
    }
  }
}
