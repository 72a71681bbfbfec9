package io.nutmegseam.node.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.ServerEntry;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Guards against requests to servers that have said in a response that they are leaving, while the
 * platform still lists them as ready.
 */
@Execution(ExecutionMode.CONCURRENT)
class LeavingServerTest {
  private static final int REQUESTS = 30;

  @Nested
  class Responses {
    private RecordingServer leaving;
    private RecordingServer staying;
    private TestCluster cluster;

    @BeforeEach
    void startNodes() throws Exception {
      leaving = new RecordingServer("i0");
      staying = new RecordingServer("i1");
      cluster = new TestCluster(List.of(leaving.entry(), staying.entry())).start("n1").start("n2");
    }

    @AfterEach
    void stopNodes() throws Exception {
      cluster.close();
      leaving.close();
      staying.close();
    }

    @Test
    void should_send_no_request_to_a_server_after_its_response_says_so() throws Exception {
      // GIVEN
      leaving.sayLeaving("1");
      callUntilArrived("n1", leaving);
      int arrived = leaving.arrivals().size();
      // WHEN
      for (int i = 0; i < REQUESTS; i++) {
        assertThat(call("n1", "later" + i)).startsWith("HTTP/1.1 200");
      }
      // THEN
      assertThat(leaving.arrivals()).hasSize(arrived);
    }

    @Test
    void should_tell_other_nodes() throws Exception {
      // GIVEN
      leaving.sayLeaving("1");
      callUntilArrived("n1", leaving);
      // WHEN
      await()
          .atMost(Duration.ofSeconds(5))
          .until(
              () -> {
                int arrived = leaving.arrivals().size();
                for (int i = 0; i < REQUESTS; i++) {
                  call("n2", "other" + i);
                }
                return leaving.arrivals().size() == arrived;
              });
      // THEN the other node has learned it from a frame, or from one response of its own
      assertThat(leaving.arrivals()).extracting(RecordingServer.Arrival::id).contains("first");
    }

    @Test
    void should_let_a_stream_in_progress_go_on() throws Exception {
      // GIVEN
      leaving.stream(5, 100);
      staying.close();
      cluster.removeEntry("i1");
      leaving.sayLeaving("1");
      // WHEN
      String received = callUntilArrived("n1", leaving);
      // THEN
      assertThat(received).contains("id: 5\n").endsWith("0\r\n\r\n");
    }

    @Test
    void should_use_a_later_process_at_the_same_address() throws Exception {
      // GIVEN
      leaving.sayLeaving("1");
      callUntilArrived("n1", leaving);
      // WHEN
      leaving.sayLeaving("0");
      ServerEntry before = leaving.entry();
      cluster.putEntry(withIncarnation(before, new Incarnation("i0", 2)));
      // THEN
      int arrived = leaving.arrivals().size();
      await()
          .atMost(Duration.ofSeconds(5))
          .until(
              () -> {
                call("n1", "again");
                return leaving.arrivals().size() > arrived;
              });
    }

    @Test
    void should_take_an_unknown_value_as_not_leaving() throws Exception {
      // GIVEN
      leaving.sayLeaving("yes");
      callUntilArrived("n1", leaving);
      int arrived = leaving.arrivals().size();
      // WHEN
      for (int i = 0; i < REQUESTS; i++) {
        call("n1", "later" + i);
      }
      // THEN
      assertThat(leaving.arrivals().size()).isGreaterThan(arrived);
    }

    /** Sends requests until one arrives at a server; returns the last response. */
    private String callUntilArrived(String node, RecordingServer server) throws Exception {
      String received = "";
      while (server.arrivals().isEmpty()) {
        received = call(node, "first");
      }
      return received;
    }

    private String call(String node, String id) throws IOException {
      try (Socket caller = cluster.connect(node)) {
        caller.setSoTimeout(4_000);
        String head = "POST /p/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nid: " + id;
        caller.getOutputStream().write((head + "\r\n\r\n").getBytes(UTF_8));
        return new String(caller.getInputStream().readAllBytes(), UTF_8);
      }
    }
  }

  /** What the platform and other nodes say of a server may be older than what it said itself. */
  @Nested
  class OlderNews {
    private static final Incarnation SERVER = new Incarnation("i0", 1);

    private final GatewayState state = new GatewayState();

    @Test
    void should_keep_a_server_draining_that_is_listed_as_ready_once_more() throws Exception {
      try (RecordingServer server = new RecordingServer("i0")) {
        // GIVEN
        state.setFleet(new Fleet(Map.of("i0", server.entry())));
        assertThat(state.addLeaving(SERVER)).isTrue();
        assertThat(state.fleet().entry("i0").orElseThrow().draining()).isTrue();
        // WHEN
        state.setFleet(Fleet.EMPTY);
        state.setFleet(new Fleet(Map.of("i0", server.entry())));
        // THEN
        assertThat(state.fleet().entry("i0").orElseThrow().draining()).isTrue();
        assertThat(state.addLeaving(SERVER)).isFalse();
      }
    }
  }

  private static ServerEntry withIncarnation(ServerEntry entry, Incarnation incarnation) {
    return new ServerEntry(
        incarnation,
        entry.service(),
        entry.softwareVersion(),
        entry.host(),
        entry.port(),
        entry.dataCentre(),
        entry.slots(),
        entry.draining(),
        entry.inventory());
  }
}
