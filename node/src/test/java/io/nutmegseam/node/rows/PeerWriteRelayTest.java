package io.nutmegseam.node.rows;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A node that the store turns away, and one that the store serves. */
class PeerWriteRelayTest {
  private static final EventSink NO_LOG = (kind, subject, detail) -> {};

  private final InMemoryStore store = new InMemoryStore();
  private final List<Runnable> timeouts = new ArrayList<>();
  private final PeerWriteRelay helper = peer("cut", frame -> fromHelper(frame));
  private final PeerWriteRelay cut =
      peer("helper", frame -> helper.onRequest("cut", frame.getRowWriteAsk()));

  private void fromHelper(PeerFrame frame) {
    cut.onResponse(frame.getRowWriteAnswer());
  }

  @Nested
  class Writing {
    @Test
    void should_write_through_a_node_that_reaches_the_store() {
      CompletableFuture<Optional<Long>> outcome = cut.write("helper", "k", 0, "v");
      assertThat(outcome).isCompletedWithValue(Optional.of(1L));
      assertThat(store.rowByKey.get("k").value()).isEqualTo("v");
    }

    @Test
    void should_return_empty_if_the_row_has_another_version() {
      cut.write("helper", "k", 0, "v");
      assertThat(cut.write("helper", "k", 0, "w")).isCompletedWithValue(Optional.empty());
    }

    @Test
    void should_fail_if_the_relaying_node_does_not_know_the_outcome() {
      store.down = true;
      assertThat(cut.write("helper", "k", 0, "v")).isCompletedExceptionally();
    }

    @Test
    void should_fail_immediately_without_a_connection() {
      assertThat(cut.write("nobody", "k", 0, "v")).isCompletedExceptionally();
    }

    @Test
    void should_fail_if_no_response_arrives() {
      // GIVEN
      PeerWriteRelay alone = peer("helper", frame -> {});
      CompletableFuture<Optional<Long>> outcome = alone.write("helper", "k", 0, "v");
      assertThat(outcome).isNotDone();
      // WHEN
      timeouts.forEach(Runnable::run);
      // THEN
      assertThat(outcome).isCompletedExceptionally();
    }
  }

  private PeerWriteRelay peer(String other, Consumer<PeerFrame> wire) {
    PeerTransport outbox =
        new PeerTransport() {
          @Override
          public boolean send(String node, PeerFrame.Builder frame) {
            if (node.equals(other)) {
              wire.accept(frame.build());
            }
            return node.equals(other);
          }

          @Override
          public Set<String> connectedNodes() {
            return Set.of(other);
          }
        };
    return new PeerWriteRelay(store, "own", outbox, (delay, task) -> timeouts.add(task), NO_LOG);
  }

  private static final class InMemoryStore implements RowStore {
    private final Map<String, Row> rowByKey = new HashMap<>();
    private boolean down;
    private long version;

    @Override
    public CompletableFuture<Optional<Long>> write(
        String table, String key, long expectedVersion, String value) {
      if (down) {
        return CompletableFuture.failedFuture(new IllegalStateException("down"));
      }
      long found = rowByKey.containsKey(key) ? rowByKey.get(key).version() : 0;
      if (found != expectedVersion) {
        return CompletableFuture.completedFuture(Optional.empty());
      }
      version++;
      rowByKey.put(key, new Row(key, value, version));
      return CompletableFuture.completedFuture(Optional.of(version));
    }

    @Override
    public CompletableFuture<ReadResult> readAll(String table) {
      throw new UnsupportedOperationException(table);
    }

    @Override
    public CompletableFuture<Optional<ReadResult>> readChanges(
        String table, long after, long waitMillis) {
      throw new UnsupportedOperationException(table);
    }

    @Override
    public CompletableFuture<Optional<Row>> get(String table, String key) {
      throw new UnsupportedOperationException(key);
    }
  }
}
