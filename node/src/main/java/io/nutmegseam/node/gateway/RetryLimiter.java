package io.nutmegseam.node.gateway;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the requests that are sent to a server once more, for each service, over a sliding window.
 * All nodes share the limit, so each takes a part of it. Confined to the traffic thread.
 */
final class RetryLimiter {
  /** Part of the limit that is used; the rest covers arrivals that nodes count differently. */
  private static final double USED_SHARE = 0.8;

  private final double ratio;
  private final double slack;
  private final long windowMillis;
  private final InstantSource clock;
  private final Map<String, Window> windowByService = new HashMap<>();
  private int nodes;

  private static final class Window {
    private final Deque<Long> firstMillis = new ArrayDeque<>();
    private final Deque<Long> againMillis = new ArrayDeque<>();
  }

  /**
   * Creates an allowance.
   *
   * @param ratio repeats allowed for each first arrival
   * @param slack repeats allowed besides, over all nodes
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

  /** Sets the number of nodes that share the limit. */
  void setNodeCount(int count) {
    nodes = Math.max(1, count);
  }

  /** Notes the first arrival of a request at a service. */
  void onNewRequest(String service) {
    window(service).firstMillis.addLast(clock.millis());
  }

  /** Takes one repeat, or returns false if none is left. */
  boolean tryAcquire(String service) {
    Window window = window(service);
    double limit = USED_SHARE * (ratio * window.firstMillis.size() + slack / nodes);
    if (window.againMillis.size() + 1 > limit) {
      return false;
    }
    window.againMillis.addLast(clock.millis());
    return true;
  }

  private Window window(String service) {
    Window window = windowByService.computeIfAbsent(service, s -> new Window());
    long sinceMillis = clock.millis() - windowMillis;
    trim(window.firstMillis, sinceMillis);
    trim(window.againMillis, sinceMillis);
    return window;
  }

  private static void trim(Deque<Long> times, long sinceMillis) {
    while (!times.isEmpty() && times.peekFirst() < sinceMillis) {
      times.pollFirst();
    }
  }
}
