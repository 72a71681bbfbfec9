package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.nutmegseam.core.gateway.RequestKind;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Guards against servers that fall over since nodes which know only their own requests send them
 * more than they have room for.
 */
@Execution(ExecutionMode.CONCURRENT)
class BrittleServerTest {
  private static final List<String> NODES = List.of("n1", "n2", "n3", "n4", "n5");
  private static final int SERVERS = 3;

  /** Requests that a server has room for; its entry says that it runs that many. */
  private static final int PLACES = 8;

  private static final int MAX_REJECTIONS_PER_SECOND = 3;

  /** How often the servers of a service may fall over: twice, and a tenth of their number. */
  private static final int MAX_FALLS = 2 + SERVERS / 10;

  /** Time within which all nodes must know what a server has told one of them. */
  private static final long SHARE_MILLIS = 500;

  @Nested
  class Bursts {
    @Test
    void should_not_make_servers_reject_requests_that_all_nodes_send_at_once() throws Exception {
      try (Scenario scenario = new Scenario()) {
        // GIVEN
        scenario.tellAllNodes();
        // WHEN each node gets six requests at the same moment, again and again
        for (int burst = 0; burst < 8; burst++) {
          for (int i = 0; i < 30; i++) {
            scenario.callers.send("burst", i, "x-" + burst + "-" + i, "");
          }
          Thread.sleep(500);
        }
        // THEN
        assertThat(scenario.callers.servedShare("burst", 0)).isGreaterThan(0.9);
        assertThat(scenario.falls()).isLessThanOrEqualTo(MAX_FALLS);
      }
    }

    @Test
    void should_refuse_what_servers_have_no_room_for() throws Exception {
      try (Scenario scenario = new Scenario()) {
        // GIVEN
        scenario.tellAllNodes();
        // WHEN
        for (int i = 0; i < 600; i++) {
          scenario.callers.send("overload", i, "x-" + i, "");
        }
        // THEN
        assertThat(scenario.callers.results("overload"))
            .filteredOn(result -> !result.isServed())
            .allSatisfy(
                result ->
                    assertThat(result.head()).startsWith("HTTP/1.1 503").contains("retry-after"));
        assertThat(scenario.callers.servedShare("overload", 0)).isGreaterThan(0.5);
        assertThat(scenario.falls()).isLessThanOrEqualTo(MAX_FALLS);
      }
    }
  }

  /** The bound must not cost requests that servers have room for. */
  @Nested
  class Allowed {
    @Test
    void should_serve_all_requests_of_one_node() throws Exception {
      try (Scenario scenario = new Scenario()) {
        // GIVEN
        scenario.tellAllNodes();
        // WHEN
        for (int i = 0; i < 150; i++) {
          scenario.callers.send("one", 2, "x-" + i, "");
          Thread.sleep(15);
        }
        // THEN
        assertThat(scenario.callers.servedShare("one", 0)).isEqualTo(1);
        assertThat(scenario.falls()).isZero();
      }
    }
  }

  private static final class Scenario implements AutoCloseable {
    private final List<RecordingServer> servers = new ArrayList<>();
    private final List<ServerRoom> rooms = new ArrayList<>();
    private final TestCluster cluster;
    private final CallerLoad callers;

    private Scenario() throws Exception {
      for (int i = 0; i < SERVERS; i++) {
        RecordingServer server = new RecordingServer("i" + i);
        ServerRoom room = new ServerRoom(PLACES, MAX_REJECTIONS_PER_SECOND);
        server.stream(1, 100);
        server.beBrittle(room);
        servers.add(server);
        rooms.add(room);
      }
      cluster =
          new TestCluster(
              TestGateway.route(RequestKind.STREAMING, true),
              servers.stream().map(RecordingServer::entry).toList());
      for (String node : NODES) {
        cluster.start(node);
      }
      callers = new CallerLoad(cluster, NODES, 40);
      await().pollDelay(1_500, TimeUnit.MILLISECONDS).until(() -> true);
    }

    /** Lets each server answer a request, and waits until all nodes must know what it said. */
    private void tellAllNodes() throws Exception {
      callers.sendEvery(30, 30, "telling", "t-{n}", "");
      callers.results("telling");
      Thread.sleep(SHARE_MILLIS);
    }

    private int falls() {
      return rooms.stream().mapToInt(ServerRoom::falls).sum();
    }

    @Override
    public void close() throws IOException {
      callers.close();
      cluster.close();
      for (RecordingServer server : servers) {
        server.close();
      }
    }
  }
}
