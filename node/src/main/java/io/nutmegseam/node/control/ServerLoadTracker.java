package io.nutmegseam.node.control;

import io.nutmegseam.core.routing.OutlierEjection;
import java.time.Clock;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Tracks what routing needs to know about each backend server: its last load report, the requests
 * of this node in flight, and ejection after failed calls. Thread-safe.
 */
public final class ServerLoadTracker {
  private final Clock clock;
  private final Map<String, Sample> samples = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> outstanding = new ConcurrentHashMap<>();
  private final AtomicReference<OutlierEjection> ejection =
      new AtomicReference<>(OutlierEjection.none());

  /**
   * A load report of a server.
   *
   * @param load number of running and queued requests
   * @param receivedAtMillis monotonic time at which this node recorded the report
   */
  public record Sample(int load, long receivedAtMillis) {}

  /**
   * Creates a tracker without reports.
   *
   * @param clock monotonic clock
   */
  public ServerLoadTracker(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records a load report.
   *
   * @param server the server's name
   * @param load number of running and queued requests
   */
  public void recordLoad(String server, int load) {
    samples.put(server, new Sample(load, clock.millis()));
  }

  /** Returns the last load report of a server, or one with load 0 at time 0 if there is none. */
  public Sample lastSample(String server) {
    return samples.getOrDefault(server, new Sample(0, 0));
  }

  /** Returns the number of this node's requests in flight on a server. */
  public int outstanding(String server) {
    AtomicInteger count = outstanding.get(server);
    return count == null ? 0 : count.get();
  }

  /** Counts a request of this node as in flight on a server. */
  public void onRequestStarted(String server) {
    outstanding.computeIfAbsent(server, k -> new AtomicInteger()).incrementAndGet();
  }

  /** Removes a request of this node from those in flight on a server. */
  public void onRequestEnded(String server) {
    outstanding.get(server).decrementAndGet();
  }

  /** Records whether a call succeeded; returns whether this outcome ejects the server. */
  public boolean recordOutcome(String server, boolean succeeded) {
    long nowMillis = clock.millis();
    OutlierEjection before =
        ejection.getAndUpdate(
            current ->
                succeeded ? current.withSuccess(server) : current.withFailure(server, nowMillis));
    boolean wasEjected = before.isEjected(server, nowMillis);
    return !wasEjected && ejection.get().isEjected(server, nowMillis);
  }

  /** Returns the current state of outlier ejection. */
  public OutlierEjection ejection() {
    return ejection.get();
  }
}
