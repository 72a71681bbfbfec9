package io.nutmegseam.node.control;

import io.nutmegseam.core.routing.OutlierEjection;
import java.time.Clock;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** The load of backend servers as reported and as this node's own requests make it. */
public final class LoadBoard {
  private final Clock clock;
  private final Map<String, Sample> samples = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> outstanding = new ConcurrentHashMap<>();
  private final AtomicReference<OutlierEjection> ejection =
      new AtomicReference<>(OutlierEjection.none());

  /**
   * A report.
   *
   * @param load running and queued requests
   * @param atMillis monotonic time of the receipt
   */
  public record Sample(int load, long atMillis) {}

  /**
   * Creates a board.
   *
   * @param clock monotonic clock
   */
  public LoadBoard(Clock clock) {
    this.clock = clock;
  }

  /** Notes a report. */
  public void report(String server, int load) {
    samples.put(server, new Sample(load, clock.millis()));
  }

  /** Returns the last report of a server; an old one of no load if there is none. */
  public Sample sample(String server) {
    return samples.getOrDefault(server, new Sample(0, 0));
  }

  /** Returns the number of this node's requests that run on a server. */
  public int outstanding(String server) {
    AtomicInteger count = outstanding.get(server);
    return count == null ? 0 : count.get();
  }

  /** Notes that a request of this node begins on a server. */
  public void begin(String server) {
    outstanding.computeIfAbsent(server, k -> new AtomicInteger()).incrementAndGet();
  }

  /** Notes that a request of this node has ended on a server. */
  public void end(String server) {
    outstanding.get(server).decrementAndGet();
  }

  /** Notes whether a call succeeded; returns whether the server is ejected by it. */
  public boolean outcome(String server, boolean succeeded) {
    long nowMillis = clock.millis();
    OutlierEjection before =
        ejection.getAndUpdate(
            known -> succeeded ? known.withSuccess(server) : known.withFailure(server, nowMillis));
    boolean was = before.isEjected(server, nowMillis);
    return !was && ejection.get().isEjected(server, nowMillis);
  }

  /** Returns the ejected servers. */
  public OutlierEjection ejection() {
    return ejection.get();
  }
}
