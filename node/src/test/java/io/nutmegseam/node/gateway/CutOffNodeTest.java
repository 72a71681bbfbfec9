package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against callers that are refused since their node has lost its links to all servers, while
 * other nodes reach them.
 */
@Execution(ExecutionMode.CONCURRENT)
class CutOffNodeTest {
  private static final List<String> NODES = List.of("n1", "n2", "n3", "n4", "n5");
  private static final int SERVERS = 4;

  /** Attempts that the route of {@link TestGateway} allows. */
  private static final long MAX_ATTEMPTS = 2;

  /** Time after which the callers of a node that is cut off must be served. */
  private static final long STABLE_MILLIS = 3_000;

  /** Nodes that are cut off serve at least this share of what the others do. */
  private static final double MIN_RELATIVE_SHARE = 0.95;

  @Nested
  class CutOff {
    @ParameterizedTest
    @EnumSource(names = {"SILENT", "RESET", "SILENT_FOR_NEW", "REFUSED_FOR_NEW"})
    void should_serve_the_callers_of_one_node(CuttableLink.Mode mode) throws Exception {
      try (Scenario scenario = new Scenario(RequestKind.IDEMPOTENT)) {
        scenario.callers.sendEvery(10, 100, "before", "x-{n}", "");
        scenario.cut(mode, "n2");
        scenario.callers.sendEvery(10, 600, "during", "y-{n}", "");
        scenario.checkServed("during", List.of("n2"));
      }
    }

    @ParameterizedTest
    @EnumSource(names = {"SILENT", "RESET"})
    void should_serve_the_callers_of_most_nodes(CuttableLink.Mode mode) throws Exception {
      try (Scenario scenario = new Scenario(RequestKind.STREAMING)) {
        scenario.callers.sendEvery(10, 100, "before", "x-{n}", "");
        scenario.cut(mode, "n1", "n3", "n4");
        scenario.callers.sendEvery(10, 600, "during", "y-{n}", "");
        scenario.checkServed("during", List.of("n1", "n3", "n4"));
      }
    }

    @Test
    void should_serve_requests_that_may_run_once_and_run_them_once() throws Exception {
      try (Scenario scenario = new Scenario(RequestKind.NON_IDEMPOTENT)) {
        scenario.callers.sendEvery(10, 100, "before", "x-{n}", "");
        // WHEN the cut comes and goes
        Thread cuts = new Thread(() -> scenario.cutInTurns("n1", "n2"));
        cuts.start();
        scenario.callers.sendEvery(10, 800, "during", "y-{n}", "");
        cuts.join();
        // THEN
        scenario.checkRunOnce();
        scenario.cut(CuttableLink.Mode.SILENT, "n1", "n2");
        scenario.callers.sendEvery(10, 600, "after", "z-{n}", "");
        scenario.checkServed("after", List.of("n1", "n2"));
        scenario.checkRunOnce();
      }
    }
  }

  @Nested
  class Streams {
    @Test
    void should_forward_whole_streams_of_a_node_that_is_cut_off_and_those_that_the_cut_breaks()
        throws Exception {
      // The links are cut one after the other, so that a stream may lose several servers.
      Route route = TestGateway.route(RequestKind.STREAMING, true, SERVERS + 1);
      try (Scenario scenario = new Scenario(route)) {
        // GIVEN streams of 0.5 s
        scenario.servers.forEach(server -> server.stream(5, 100));
        // WHEN the cut comes while streams are on their way
        scenario.callers.sendEvery(20, 10, "before", "x-{n}", "");
        scenario.cut(CuttableLink.Mode.RESET, "n2");
        scenario.callers.sendEvery(20, 100, "during", "y-{n}", "");
        // THEN
        assertThat(scenario.callers.results("before")).allSatisfy(CutOffNodeTest::checkStream);
        assertThat(scenario.callers.results("during")).allSatisfy(CutOffNodeTest::checkStream);
      }
    }

    @Test
    void should_end_the_run_of_a_caller_that_has_left() throws Exception {
      try (Scenario scenario = new Scenario(RequestKind.STREAMING)) {
        // GIVEN
        scenario.cut(CuttableLink.Mode.RESET, "n2");
        scenario.callers.sendEvery(10, 200, "before", "x-{n}", "");
        scenario.callers.results("before");
        scenario.servers.forEach(server -> server.stream(5, 150));
        // WHEN
        long leftMillis = scenario.leaveAfter("n2", 300);
        // THEN
        await().atMost(1, TimeUnit.SECONDS).until(() -> scenario.abandonedMillis().size() == 1);
        assertThat(scenario.abandonedMillis().get(0)).isLessThan(leftMillis + 500);
      }
    }
  }

  /** A node that reaches no server cannot order loads. */
  @Nested
  class OrderLeaseHolder {
    @Test
    void should_leave_the_order_lease_to_a_node_that_reaches_servers() throws Exception {
      try (Scenario scenario = new Scenario(RequestKind.IDEMPOTENT)) {
        // GIVEN
        await().until(() -> scenario.leaseHolder().isPresent());
        String holder = scenario.leaseHolder().orElseThrow();
        // WHEN
        scenario.cut(CuttableLink.Mode.SILENT, holder);
        scenario.callers.sendEvery(10, 200, "during", "y-{n}", "");
        // THEN
        await()
            .atMost(8, TimeUnit.SECONDS)
            .until(() -> scenario.leaseHolder().filter(h -> !h.equals(holder)).isPresent());
      }
    }
  }

  @Nested
  class Attempts {
    /** Guards against nodes that each use up the attempts of the route for one request. */
    @Test
    void should_not_run_a_request_at_more_servers_than_its_route_allows() throws Exception {
      try (Scenario scenario = new Scenario(RequestKind.IDEMPOTENT)) {
        // GIVEN
        scenario.cut(CuttableLink.Mode.RESET, "n1", "n2");
        scenario.callers.sendEvery(10, 100, "before", "x-{n}", "");
        scenario.servers.forEach(server -> server.failRequests(head -> true));
        // WHEN
        scenario.callers.sendEvery(20, 200, "failing", "y-{n}", "");
        scenario.callers.results("failing");
        // THEN
        assertThat(scenario.runsById().values())
            .allSatisfy(runs -> assertThat(runs).isLessThanOrEqualTo(MAX_ATTEMPTS));
      }
    }
  }

  /** No node reaches a server, or a single server fails. */
  @Nested
  class Unserved {
    @Test
    void should_refuse_at_once_if_no_node_reaches_a_server() throws Exception {
      try (Scenario scenario = new Scenario(RequestKind.IDEMPOTENT)) {
        scenario.callers.sendEvery(10, 50, "before", "x-{n}", "");
        scenario.cut(CuttableLink.Mode.SILENT, NODES.toArray(String[]::new));
        // WHEN
        scenario.callers.sendEvery(20, 200, "during", "y-{n}", "");
        // THEN
        long stableMillis = scenario.cutMillis + STABLE_MILLIS;
        assertThat(scenario.callers.results("during"))
            .filteredOn(result -> result.sentMillis() > stableMillis)
            .isNotEmpty()
            .allSatisfy(
                result -> {
                  assertThat(result.head()).startsWith("HTTP/1.1 503").contains("retry-after");
                  assertThat(result.durationMillis()).isLessThan(400);
                });
        // WHEN
        scenario.cut(CuttableLink.Mode.OPEN, NODES.toArray(String[]::new));
        Thread.sleep(1_500);
        scenario.callers.sendEvery(20, 100, "after", "z-{n}", "");
        // THEN
        assertThat(scenario.callers.servedShare("after", 0)).isEqualTo(1);
      }
    }
  }

  /** Checks that a stream of five events is complete, with each event once and in order. */
  private static void checkStream(CallerLoad.Result result) {
    assertThat(result.isServed()).as("%s", result).isTrue();
    List<String> ids = result.body().lines().filter(line -> line.startsWith("id: ")).toList();
    assertThat(ids).containsExactly("id: 1", "id: 2", "id: 3", "id: 4", "id: 5");
  }

  private static final class Scenario implements AutoCloseable {
    private final List<RecordingServer> servers = new ArrayList<>();
    private final Map<String, Map<String, CuttableLink>> linkByServerByNode = new HashMap<>();
    private final TestCluster cluster;
    private final CallerLoad callers;
    private long cutMillis;

    private Scenario(RequestKind kind) throws Exception {
      this(TestGateway.route(kind, true));
    }

    private Scenario(Route route) throws Exception {
      for (int i = 0; i < SERVERS; i++) {
        servers.add(new RecordingServer("i" + i));
      }
      List<ServerEntry> entries = servers.stream().map(RecordingServer::entry).toList();
      for (String node : NODES) {
        for (ServerEntry entry : entries) {
          linkByServerByNode
              .computeIfAbsent(node, n -> new HashMap<>())
              .put(entry.incarnation().id(), new CuttableLink(entry));
        }
      }
      cluster =
          new TestCluster(
              route,
              entries,
              (node, entry) ->
                  linkByServerByNode.get(node).get(entry.incarnation().id()).at(entry));
      for (String node : NODES) {
        cluster.start(node);
      }
      callers = new CallerLoad(cluster, NODES, 48);
      await().pollDelay(1_500, TimeUnit.MILLISECONDS).until(() -> true);
    }

    /** Sends a request and closes its connection after a time; returns when that was. */
    private long leaveAfter(String node, long millis) throws Exception {
      try (Socket socket = cluster.connect(node)) {
        String request = "POST /p/left HTTP/1.1\r\nHost: h\r\nid: left\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        Thread.sleep(millis);
      }
      return System.currentTimeMillis();
    }

    private List<Long> abandonedMillis() {
      return servers.stream().flatMap(server -> server.abandonedMillis().stream()).toList();
    }

    /** Returns the node that holds the order lease. */
    private Optional<String> leaseHolder() throws Exception {
      String row = cluster.leaseRow();
      return NODES.stream()
          .filter(
              node ->
                  row.contains("\"node\":\"" + node + "\"") && row.contains("\"released\":false"))
          .findFirst();
    }

    private void cut(CuttableLink.Mode mode, String... nodes) throws IOException {
      cutMillis = System.currentTimeMillis();
      for (String node : nodes) {
        for (CuttableLink link : linkByServerByNode.get(node).values()) {
          link.set(mode);
        }
      }
    }

    private void cutInTurns(String... nodes) {
      try {
        for (CuttableLink.Mode mode :
            List.of(
                CuttableLink.Mode.SILENT,
                CuttableLink.Mode.RESET,
                CuttableLink.Mode.SILENT_FOR_NEW)) {
          cut(mode, nodes);
          Thread.sleep(1_500);
          cut(CuttableLink.Mode.OPEN, nodes);
          Thread.sleep(1_000);
        }
      } catch (IOException | InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    /** Checks that nodes that are cut off serve as many requests as the others. */
    private void checkServed(String label, List<String> cutNodes) throws Exception {
      long stableMillis = cutMillis + STABLE_MILLIS;
      List<CallerLoad.Result> judged =
          callers.results(label).stream().filter(r -> r.sentMillis() >= stableMillis).toList();
      Map<Boolean, Double> servedShareByCut =
          judged.stream()
              .collect(
                  Collectors.partitioningBy(
                      result -> cutNodes.contains(result.node()),
                      Collectors.averagingDouble(result -> result.isServed() ? 1 : 0)));
      assertThat(servedShareByCut.get(true))
          .as("share served at nodes that are cut off, others %s", servedShareByCut.get(false))
          .isGreaterThan(MIN_RELATIVE_SHARE * servedShareByCut.get(false));
      assertThat(servedShareByCut.get(false)).isGreaterThan(MIN_RELATIVE_SHARE);
    }

    private void checkRunOnce() {
      assertThat(runsById().values()).allSatisfy(runs -> assertThat(runs).isEqualTo(1));
    }

    /** Returns how many servers have run each request. */
    private Map<String, Long> runsById() {
      return servers.stream()
          .flatMap(server -> server.arrivals().stream())
          .collect(Collectors.groupingBy(RecordingServer.Arrival::id, Collectors.counting()));
    }

    @Override
    public void close() throws IOException {
      callers.close();
      cluster.close();
      for (Map<String, CuttableLink> links : linkByServerByNode.values()) {
        for (CuttableLink link : links.values()) {
          link.close();
        }
      }
      for (RecordingServer server : servers) {
        server.close();
      }
    }
  }
}
