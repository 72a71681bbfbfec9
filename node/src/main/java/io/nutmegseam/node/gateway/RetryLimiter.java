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
  private int nodes;

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
   * @param nodes number of nodes that share the limit
   * @param clock monotonic clock
   */
  RetryLimiter(double ratio, double slack, long windowMillis, int nodes, InstantSource clock) {
    this.ratio = ratio;
    this.slack = slack;
    this.windowMillis = windowMillis;
    this.nodes = nodes;
    this.clock = clock;
  }

  /** Sets the number of nodes that share the limit; at least 1 is assumed. */
  void setNodeCount(int count) {
    nodes = Math.max(1, count);
  }

  /** Counts the first attempt of a request to a service. */
  void onNewRequest(String service) {
    window(service).requestMillis.addLast(clock.millis());
  }

  /** Acquires one retry, or returns false if the limit of the window is reached. */
  boolean tryAcquire(String service) {
    Window window = window(service);
    double limit = USED_SHARE * (ratio * window.requestMillis.size() + slack / nodes);
    if (window.retryMillis.size() + 1 > limit) {
      return false;
    }
    window.retryMillis.addLast(clock.millis());
    return true;
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
