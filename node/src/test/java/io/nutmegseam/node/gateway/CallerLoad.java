package io.nutmegseam.node.gateway;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that send requests to the nodes of a cluster, and what they get. */
final class CallerLoad implements AutoCloseable {
  private static final int READ_TIMEOUT_MILLIS = 3_000;

  private final TestCluster cluster;
  private final List<String> nodes;
  private final ExecutorService callers;
  private final AtomicInteger lastRequest = new AtomicInteger();
  private final Map<String, Result> resultById = new ConcurrentHashMap<>();
  private final List<Future<?>> pending = new ArrayList<>();

  /**
   * What a caller got.
   *
   * @param label label of the request
   * @param node the node to which it was sent
   * @param sentMillis when it was sent
   * @param endedMillis when the response ended
   * @param head head of the response
   * @param body body of the response as sent, with chunk sizes
   * @param complete whether the response is complete
   */
  record Result(
      String label,
      String node,
      long sentMillis,
      long endedMillis,
      String head,
      String body,
      boolean complete) {
    boolean isServed() {
      return head.startsWith("HTTP/1.1 200") && complete;
    }

    long durationMillis() {
      return endedMillis - sentMillis;
    }
  }

  /**
   * Creates callers.
   *
   * @param cluster the nodes
   * @param nodes names of the nodes, which requests name by index
   * @param concurrency maximum number of requests in flight
   */
  CallerLoad(TestCluster cluster, List<String> nodes, int concurrency) {
    this.cluster = cluster;
    this.nodes = nodes;
    this.callers = Executors.newFixedThreadPool(concurrency);
  }

  /**
   * Sends a request to a node in the background.
   *
   * @param label label of the request in the results
   * @param node index of the node
   * @param path the path after the prefix of the route
   * @param headers further headers, each with its line end
   */
  void send(String label, int node, String path, String headers) {
    String id = "r" + lastRequest.incrementAndGet();
    pending.add(
        callers.submit(() -> exchange(id, label, nodes.get(node % nodes.size()), path, headers)));
  }

  /** Sends a request to each node in turn, at an interval. */
  void sendEvery(long intervalMillis, int count, String label, String path, String headers)
      throws InterruptedException {
    for (int i = 0; i < count; i++) {
      String number = String.valueOf(i);
      send(label, i % nodes.size(), path.replace("{n}", number), headers.replace("{n}", number));
      Thread.sleep(intervalMillis);
    }
  }

  /** Waits for all responses and returns the results of the requests with a label. */
  List<Result> results(String label) throws Exception {
    for (Future<?> request : pending) {
      request.get(READ_TIMEOUT_MILLIS * 2L, TimeUnit.MILLISECONDS);
    }
    return resultById.values().stream().filter(r -> r.label().equals(label)).toList();
  }

  /** Returns the share of requests with a label, sent since a time, that were served. */
  double servedShare(String label, long sinceMillis) throws Exception {
    List<Result> sent = results(label).stream().filter(r -> r.sentMillis() >= sinceMillis).toList();
    return sent.stream().filter(Result::isServed).count() / (double) Math.max(1, sent.size());
  }

  private Void exchange(String id, String label, String node, String path, String headers)
      throws IOException {
    long sentMillis = System.currentTimeMillis();
    StringBuilder received = new StringBuilder();
    try (Socket socket = cluster.connect(node)) {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
      String request =
          "POST /p/%s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nid: %s\r\n%s\r\n"
              .formatted(path, id, headers);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      byte[] bytes = socket.getInputStream().readAllBytes();
      received.append(new String(bytes, StandardCharsets.UTF_8));
    } catch (IOException e) {
      received.append(e);
    }
    String text = received.toString();
    int end = Math.max(0, text.indexOf("\r\n\r\n"));
    boolean complete = text.endsWith("0\r\n\r\n");
    resultById.put(
        id,
        new Result(
            label,
            node,
            sentMillis,
            System.currentTimeMillis(),
            text.substring(0, end),
            text.substring(end),
            complete));
    return null;
  }

  @Override
  public void close() {
    callers.shutdownNow();
  }
}
