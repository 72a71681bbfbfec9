package io.nutmegseam.node.gateway;

import static org.awaitility.Awaitility.await;

import io.nutmegseam.core.gateway.Route;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Several gateway nodes, servers that crash, and callers that send requests to any node. */
final class CrashScenario implements AutoCloseable {
  private static final int CALLERS = 24;
  private static final List<String> NODES = List.of("n1", "n2", "n3");

  private final CrashingServers servers;
  private final TestCluster cluster;
  private final CallerLoad callers;

  /** Starts three nodes that know each other. */
  CrashScenario(
      Route route, int serverCount, CrashingServers.Timing timing, Predicate<String> crashesOn)
      throws Exception {
    servers = new CrashingServers(serverCount, timing, crashesOn);
    cluster = new TestCluster(route, servers.entries());
    servers.setCluster(cluster);
    for (String node : NODES) {
      cluster.start(node);
    }
    callers = new CallerLoad(cluster, NODES, CALLERS);
    await().pollDelay(1_500, TimeUnit.MILLISECONDS).until(() -> true);
  }

  CrashingServers servers() {
    return servers;
  }

  TestCluster cluster() {
    return cluster;
  }

  /** Sends a request to a node in the background. */
  void send(String label, int node, String path, String headers) {
    callers.send(label, node, path, headers);
  }

  /** Sends a request to each node in turn, at an interval. */
  void sendEvery(long intervalMillis, int count, String label, String path, String headers)
      throws InterruptedException {
    callers.sendEvery(intervalMillis, count, label, path, headers);
  }

  /** Waits for all responses and returns the results of the requests with a label. */
  List<CallerLoad.Result> results(String label) throws Exception {
    return callers.results(label);
  }

  /** Returns the share of requests with a label, sent since a time, that were served. */
  double servedShare(String label, long sinceMillis) throws Exception {
    return callers.servedShare(label, sinceMillis);
  }

  /**
   * Returns the number of requests with a text in their heads that reached servers since a time.
   */
  long arrivalsSince(long sinceMillis, String text) {
    return servers.arrivals().stream()
        .filter(arrival -> arrival.head().contains(text) && arrival.atMillis() > sinceMillis)
        .count();
  }

  @Override
  public void close() {
    callers.close();
    cluster.close();
    servers.close();
  }
}
