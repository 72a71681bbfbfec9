package io.nutmegseam.node.gateway;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries of requests to each service over a sliding window. All nodes share the limit,
 * and each node uses a part of it. Confined to the traffic thread.
 */
final class RetryLimiter {
  /** Share of the limit that is used; the rest covers requests that the nodes count differently. */
  private static final double USED_SHARE = 0.8;

  private final double ratio;
  private final double slack;
  private final long windowMillis;
  private final InstantSource clock;
  private final Map<String, Window> windowByService = new HashMap<>();

  /** Larger numbers of nodes that were replaced within the window, the largest first. */
  private final Deque<FormerCount> formerCounts = new ArrayDeque<>();

  private int nodes;
  private boolean nodesKnown;

  private record FormerCount(int nodes, long replacedMillis) {}

  private static final class Window {
    private final Deque<Long> requestMillis = new ArrayDeque<>();
    private final Deque<Long> retryMillis = new ArrayDeque<>();
  }

  /**
   * Creates a limiter.
   *
   * @param ratio retries allowed for each new request
   * @param slack further retries allowed in each window, over all nodes
   * @param windowMillis length of the window, in milliseconds
   * @param assumedNodes number of nodes assumed to share the limit until it is known
   * @param clock monotonic clock
   */
  RetryLimiter(
      double ratio, double slack, long windowMillis, int assumedNodes, InstantSource clock) {
    this.ratio = ratio;
    this.slack = slack;
    this.windowMillis = windowMillis;
    this.nodes = assumedNodes;
    this.clock = clock;
  }

  /**
   * Sets the number of nodes that share the limit; at least 1 is assumed. A smaller number than the
   * one known before takes effect after a window, in which the retries of the nodes that are gone
   * still count.
   */
  void setNodeCount(int count) {
    int next = Math.max(1, count);
    if (nodesKnown && next < nodes) {
      formerCounts.addLast(new FormerCount(nodes, clock.millis()));
    }
    formerCounts.removeIf(former -> former.nodes() <= next);
    nodes = next;
    nodesKnown = true;
  }

  /** Counts the first attempt of a request to a service. */
  void onNewRequest(String service) {
    window(service).requestMillis.addLast(clock.millis());
  }

  /** Acquires one retry, or returns false if the limit of the window is reached. */
  boolean tryAcquire(String service) {
    Window window = window(service);
    double limit = USED_SHARE * (ratio * window.requestMillis.size() + slack / sharingNodes());
    if (window.retryMillis.size() + 1 > limit) {
      return false;
    }
    window.retryMillis.addLast(clock.millis());
    return true;
  }

  private int sharingNodes() {
    long sinceMillis = clock.millis() - windowMillis;
    formerCounts.removeIf(former -> former.replacedMillis() < sinceMillis);
    return formerCounts.isEmpty() ? nodes : formerCounts.peekFirst().nodes();
  }

  private Window window(String service) {
    Window window = windowByService.computeIfAbsent(service, s -> new Window());
    long sinceMillis = clock.millis() - windowMillis;
    removeBefore(window.requestMillis, sinceMillis);
    removeBefore(window.retryMillis, sinceMillis);
    return window;
  }

  private static void removeBefore(Deque<Long> times, long sinceMillis) {
    while (!times.isEmpty() && times.peekFirst() < sinceMillis) {
      times.pollFirst();
    }
  }
}
