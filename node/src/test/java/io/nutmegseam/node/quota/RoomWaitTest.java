package io.nutmegseam.node.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.quota.ServerLimits;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.settings.HostPort;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** One node with requests for a server that falls over if it has to reject too many. */
class RoomWaitTest {
  private static final long MAX_WAIT_MILLIS = 120;

  /** Longer than the requests can wait. */
  private static final long PAUSE_MILLIS = 1_000;

  /** Time after which the granting node gives out all of the room. */
  private static final long START_MILLIS = 1_000;

  private final ServerEntry server =
      new ServerEntry(
          new Incarnation("i1", 1),
          "s",
          "v1",
          "127.0.0.1",
          1,
          "dc",
          2,
          false,
          new Inventory(0, false, Map.of(), Set.of(), Set.of()));
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis));
  private final List<String> outcomes = new ArrayList<>();
  private long nowMillis;
  private int inFlight;
  private SendQuotas quotas;

  private record Task(long atMillis, Runnable action) {}

  @BeforeEach
  void startNode() {
    quotas =
        new SendQuotas(
            new SendQuotas.Dependencies(
                "n1",
                new FixedPeers(Set.of()),
                address -> {},
                () -> Instant.ofEpochMilli(nowMillis),
                (delayMillis, task) -> tasks.add(new Task(nowMillis + delayMillis, task)),
                process -> true,
                process -> inFlight,
                next -> {},
                (kind, subject, detail) -> {}));
    quotas.setNodes(List.of(new NodeRecord("n1", "dc", new HostPort("n1", 1), 1)));
    quotas.onResponse(
        server.incarnation(), new ServerLimits(Double.POSITIVE_INFINITY, 4), nowMillis);
  }

  // Guards against requests that are refused although a server has room for them in time.
  @Test
  void should_send_a_request_that_gets_room_at_the_end_of_its_wait() {
    // GIVEN
    occupyServer();
    acquire();
    // WHEN
    advance(MAX_WAIT_MILLIS - 1);
    endRequest();
    advance(1);
    // THEN
    assertThat(outcomes).containsExactly("sent after 120 ms");
  }

  @Test
  void should_refuse_a_request_that_gets_no_room_during_its_wait() {
    // GIVEN
    occupyServer();
    // WHEN
    acquire();
    advance(START_MILLIS);
    // THEN
    assertThat(outcomes).containsExactly("refused after 120 ms");
  }

  @Test
  void should_refuse_a_request_at_once_if_the_server_asks_for_a_longer_pause() {
    // GIVEN
    occupyServer();
    quotas.onPause(server.incarnation(), PAUSE_MILLIS);
    // WHEN
    acquire();
    // THEN
    assertThat(outcomes).containsExactly("refused after 0 ms");
  }

  private void occupyServer() {
    acquire();
    advance(START_MILLIS);
    assertThat(outcomes).containsExactly("sent after 0 ms");
    outcomes.clear();
  }

  private void acquire() {
    long askedMillis = nowMillis;
    quotas.acquire(
        server,
        new SendQuotas.Terms(MAX_WAIT_MILLIS, false),
        new SendPermit.Listener() {
          @Override
          public void onGranted() {
            inFlight++;
            outcomes.add("sent after %d ms".formatted(nowMillis - askedMillis));
          }

          @Override
          public void onDenied() {
            outcomes.add("refused after %d ms".formatted(nowMillis - askedMillis));
          }
        });
  }

  private void endRequest() {
    inFlight--;
    quotas.onEnded(server);
  }

  private void advance(long millis) {
    long untilMillis = nowMillis + millis;
    while (!tasks.isEmpty() && tasks.peek().atMillis() <= untilMillis) {
      Task task = tasks.poll();
      nowMillis = task.atMillis();
      task.action().run();
    }
    nowMillis = untilMillis;
  }
}
