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
 * Guards against a server that gets more requests than the limit which it names, since each node
 * sends as many as it would without a limit, or as many as the limit allows to all of them.
 */
@Execution(ExecutionMode.CONCURRENT)
class NamedLimitTest {
  private static final List<String> NODES = List.of("n1", "n2", "n3", "n4", "n5");

  /** Time within which all nodes must know a limit that one of them has been told. */
  private static final long SHARE_MILLIS = 500;

  private static final double LIMIT_PER_SECOND = 2;

  /** What a server may get in 4 s: one and a half times its limit, and 5 requests. */
  private static final long MAX_WITHIN_WINDOW = (long) (1.5 * 4 * LIMIT_PER_SECOND) + 5;

  @Nested
  class Exceeding {
    @Test
    void should_keep_the_limit_of_a_server_over_all_nodes() throws Exception {
      try (Scenario scenario = new Scenario(RequestKind.STREAMING, 3)) {
        // GIVEN
        scenario.callers.sendEvery(15, 100, "before", "x-{n}", "");
        long namedMillis = scenario.nameLimit(0, LIMIT_PER_SECOND);
        // WHEN
        scenario.callers.sendEvery(15, 500, "after", "y-{n}", "");
        // THEN
        scenario.checkLimit(0, namedMillis);
        assertThat(scenario.callers.servedShare("after", 0)).isGreaterThan(0.99);
      }
    }

    @Test
    void should_keep_the_limit_of_the_only_server_and_refuse_what_exceeds_it_at_once()
        throws Exception {
      try (Scenario scenario = new Scenario(RequestKind.STREAMING, 1)) {
        // GIVEN
        long namedMillis = scenario.nameLimit(0, LIMIT_PER_SECOND);
        // WHEN
        scenario.callers.sendEvery(25, 320, "after", "y-{n}", "");
        // THEN
        scenario.checkLimit(0, namedMillis);
        long servedCount =
            scenario.callers.results("after").stream().filter(CallerLoad.Result::isServed).count();
        assertThat(servedCount).isGreaterThanOrEqualTo((long) (0.75 * 8 * LIMIT_PER_SECOND));
        assertThat(scenario.callers.results("after"))
            .filteredOn(result -> !result.isServed())
            .allSatisfy(
                result -> {
                  assertThat(result.head()).startsWith("HTTP/1.1 503").contains("retry-after");
                  assertThat(result.durationMillis()).isLessThan(300);
                });
      }
    }

    @Test
    void should_count_retries_of_failed_requests() throws Exception {
      try (Scenario scenario = new Scenario(RequestKind.IDEMPOTENT, 2)) {
        // GIVEN the other server fails all requests, so that each is retried at the limited one
        scenario.servers.get(1).failRequests(head -> true);
        long namedMillis = scenario.nameLimit(0, LIMIT_PER_SECOND);
        // WHEN
        scenario.callers.sendEvery(25, 320, "after", "y-{n}", "");
        // THEN
        scenario.checkLimit(0, namedMillis);
      }
    }

    @Test
    void should_keep_the_limit_while_nodes_stop_and_start() throws Exception {
      try (Scenario scenario = new Scenario(RequestKind.STREAMING, 2)) {
        // GIVEN
        long namedMillis = scenario.nameLimit(0, LIMIT_PER_SECOND);
        // WHEN
        Thread restarts = new Thread(() -> scenario.restart("n1", "n2", "n3"));
        restarts.start();
        scenario.callers.sendEvery(20, 500, "after", "y-{n}", "");
        restarts.join();
        // THEN
        scenario.checkLimit(0, namedMillis);
      }
    }
  }

  /** The limit must not cost requests that it allows, or outlast its end. */
  @Nested
  class Allowed {
    @Test
    void should_serve_all_requests_of_one_node_if_the_only_server_allows_them() throws Exception {
      try (Scenario scenario = new Scenario(RequestKind.STREAMING, 1)) {
        // GIVEN
        scenario.nameLimit(0, 10);
        // WHEN all requests come to one node, more of them than its share of the limit
        for (int i = 0; i < 40; i++) {
          scenario.callers.send("after", 3, "y-" + i, "");
          Thread.sleep(150);
        }
        // THEN
        assertThat(scenario.callers.servedShare("after", 0)).isEqualTo(1);
      }
    }

    @Test
    void should_use_a_server_as_before_after_its_limit_has_ended() throws Exception {
      try (Scenario scenario = new Scenario(RequestKind.STREAMING, 2)) {
        // GIVEN
        long namedMillis = scenario.nameLimit(0, LIMIT_PER_SECOND);
        scenario.callers.sendEvery(20, 250, "during", "y-{n}", "");
        scenario.checkLimit(0, namedMillis);
        // WHEN
        scenario.servers.get(0).endLimit();
        long endMillis = System.currentTimeMillis();
        scenario.callers.sendEvery(20, 300, "after", "z-{n}", "");
        // THEN it gets more requests than the limit would allow
        long arrivals = scenario.servers.get(0).arrivals(endMillis + 2_000, endMillis + 6_000);
        assertThat(arrivals).isGreaterThan(MAX_WITHIN_WINDOW);
        assertThat(scenario.callers.servedShare("after", 0)).isEqualTo(1);
      }
    }
  }

  private static final class Scenario implements AutoCloseable {
    private final List<RecordingServer> servers = new ArrayList<>();
    private final TestCluster cluster;
    private final CallerLoad callers;

    private Scenario(RequestKind kind, int serverCount) throws Exception {
      for (int i = 0; i < serverCount; i++) {
        servers.add(new RecordingServer("i" + i));
      }
      cluster =
          new TestCluster(
              TestGateway.route(kind, true), servers.stream().map(RecordingServer::entry).toList());
      for (String node : NODES) {
        cluster.start(node);
      }
      callers = new CallerLoad(cluster, NODES, 24);
      await().pollDelay(1_500, TimeUnit.MILLISECONDS).until(() -> true);
    }

    /** Makes a server name a limit and sends requests until it has told a node. */
    private long nameLimit(int server, double perSecond) throws Exception {
      servers.get(server).nameLimit(perSecond);
      long namedMillis = System.currentTimeMillis();
      int sent = 0;
      while (servers.get(server).arrivals(namedMillis, Long.MAX_VALUE) == 0) {
        callers.send("naming", sent, "named-" + sent, "");
        sent++;
        Thread.sleep(20);
      }
      return namedMillis;
    }

    private void checkLimit(int server, long namedMillis) throws Exception {
      callers.results("");
      assertThat(servers.get(server).mostWithinWindow(namedMillis + SHARE_MILLIS))
          .as("requests within 4 s at a server with a limit of %s per second", LIMIT_PER_SECOND)
          .isLessThanOrEqualTo(MAX_WITHIN_WINDOW);
    }

    private void restart(String... nodes) {
      try {
        for (String node : nodes) {
          cluster.stop(node);
          cluster.start(node);
          Thread.sleep(500);
        }
      } catch (IOException | InterruptedException e) {
        throw new IllegalStateException(e);
      }
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
