package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.node.gateway.StubServer.ConnectionAction;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A server leaves without a word while the store does not answer a node. */
class StoreCutTest {
  private static final int SERVERS = 4;
  private static final long CHECK_IN_MILLIS = 600;

  /** Time in which a node learns how often servers check in. */
  private static final long OBSERVED_MILLIS = 6_000;

  private static final long CUT_MILLIS = 4_000;
  private static final long BEFORE_HEALED_MILLIS = 300;

  /** Time in which the other nodes answer a question. */
  private static final long ANSWERED_MILLIS = 500;

  private static final long JUDGED_MILLIS = 1_000;

  private final List<StubServer> servers = new ArrayList<>();
  private final ScheduledExecutorService checkIns = Executors.newSingleThreadScheduledExecutor();
  private TestCluster cluster;
  private volatile boolean leaving;

  @BeforeEach
  void startServers() throws IOException {
    for (int i = 0; i < SERVERS; i++) {
      servers.add(
          new StubServer(
              "s" + i,
              "HTTP/1.1 200 OK\r\nid: {id}\r\nreceipt: r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
              ConnectionAction.KEEP));
    }
    List<ServerEntry> entries = servers.stream().map(server -> server.entry("s")).toList();
    cluster = new TestCluster(TestGateway.route(RequestKind.IDEMPOTENT, false), entries);
    checkIns.scheduleWithFixedDelay(
        () -> entries.stream().skip(leaving ? 1 : 0).forEach(cluster::putEntry),
        CHECK_IN_MILLIS,
        CHECK_IN_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  @AfterEach
  void stop() throws IOException {
    checkIns.shutdownNow();
    cluster.close();
    for (StubServer server : servers) {
      server.close();
    }
  }

  /** Only the path of the node to the store is cut. */
  @Nested
  class Path {
    // Guards against a removed server that is used since a node took its own cut for an outage.
    @Test
    void should_not_use_a_removed_server_if_the_store_answered_another_data_centre()
        throws Exception {
      // GIVEN
      cluster.start("n1", "dc1").start("n2", "dc2");
      Thread.sleep(OBSERVED_MILLIS);
      cluster.storePath("n1").setCut(true);
      Thread.sleep(CUT_MILLIS);
      // WHEN
      leave();
      cluster.storePath("n1").setCut(false);
      // THEN
      assertThat(requestsToTheRemovedServer("n1")).isZero();
    }

    // Guards against a removed server that is used since a node alone cannot ask others.
    @Test
    void should_not_use_a_removed_server_if_servers_checked_in_meanwhile() throws Exception {
      // GIVEN
      cluster.start("n1", "dc1");
      Thread.sleep(OBSERVED_MILLIS);
      cluster.storePath("n1").setCut(true);
      Thread.sleep(CUT_MILLIS);
      // WHEN
      leave();
      cluster.storePath("n1").setCut(false);
      // THEN
      assertThat(requestsToTheRemovedServer("n1")).isZero();
    }
  }

  /** The store is away, so that the entries of servers lapse. */
  @Nested
  class Outage {
    @Test
    void should_use_a_server_whose_entry_lapsed_until_it_can_have_returned() throws Exception {
      // GIVEN
      cluster.start("n1", "dc1").start("n2", "dc2");
      Thread.sleep(OBSERVED_MILLIS);
      cluster.store().setDown(true);
      leaving = true;
      checkIns.shutdownNow();
      Thread.sleep(CUT_MILLIS);
      // WHEN
      cluster.removeEntry("s0");
      cluster.storePath("n1").setCut(false);
      cluster.store().setDown(false);
      // THEN
      assertThat(requestsToTheRemovedServer("n1")).isPositive();
    }

    @Test
    void should_use_it_as_long_if_the_node_has_no_others_to_ask() throws Exception {
      // GIVEN
      cluster.start("n1", "dc1");
      Thread.sleep(OBSERVED_MILLIS);
      cluster.store().setDown(true);
      leaving = true;
      checkIns.shutdownNow();
      Thread.sleep(CUT_MILLIS);
      // WHEN
      cluster.removeEntry("s0");
      cluster.storePath("n1").setCut(false);
      cluster.store().setDown(false);
      // THEN
      assertThat(requestsToTheRemovedServer("n1")).isPositive();
    }
  }

  private void leave() throws InterruptedException {
    leaving = true;
    Thread.sleep(BEFORE_HEALED_MILLIS);
    cluster.removeEntry("s0");
  }

  /** Returns the requests to the first server soon after the node has read that it is gone. */
  private int requestsToTheRemovedServer(String node) throws Exception {
    await().until(() -> cluster.storePath(node).reads() > 0);
    Thread.sleep(ANSWERED_MILLIS);
    int before = servers.get(0).requestHeads().size();
    try (CallerLoad callers = new CallerLoad(cluster, List.of(node), 4)) {
      callers.sendEvery(20, (int) (JUDGED_MILLIS / 20), "x", "x", "");
      assertThat(callers.servedShare("x", 0)).isEqualTo(1);
    }
    return servers.get(0).requestHeads().size() - before;
  }
}
