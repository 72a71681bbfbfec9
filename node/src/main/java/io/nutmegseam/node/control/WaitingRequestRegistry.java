package io.nutmegseam.node.control;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Registers the callers' requests that wait for a model or adapter at this node. Thread-safe. */
public final class WaitingRequestRegistry {
  private final Clock clock;
  private final Runnable onFirstRequest;
  private final Map<String, Set<Entry>> entriesByUnit = new HashMap<>();

  /**
   * One waiting request.
   *
   * @param id id of the request's attempt
   * @param unit the model or adapter
   * @param interactive whether the request is interactive; batch otherwise
   * @param deadlineMillis monotonic time after which the request can no longer be served in time
   * @param waitingSinceMillis monotonic time at which the request began to wait
   * @param needsScaleUp whether a replica is loaded, but none that this request can use
   */
  public record Entry(
      String id,
      String unit,
      boolean interactive,
      long deadlineMillis,
      long waitingSinceMillis,
      boolean needsScaleUp) {}

  /**
   * Creates an empty registry.
   *
   * @param clock monotonic clock
   * @param onFirstRequest runs when the first request begins to wait for a unit; must not block
   */
  public WaitingRequestRegistry(Clock clock, Runnable onFirstRequest) {
    this.clock = clock;
    this.onFirstRequest = onFirstRequest;
  }

  /** Registers a request that begins to wait. */
  public Entry add(
      String id, String unit, boolean interactive, long deadlineMillis, boolean needsScaleUp) {
    Entry entry = new Entry(id, unit, interactive, deadlineMillis, clock.millis(), needsScaleUp);
    boolean first;
    synchronized (this) {
      Set<Entry> entries = entriesByUnit.computeIfAbsent(unit, k -> new HashSet<>());
      first = entries.isEmpty();
      entries.add(entry);
    }
    if (first) {
      onFirstRequest.run();
    }
    return entry;
  }

  /** Removes a request that no longer waits; does nothing if it is not registered. */
  public synchronized void remove(Entry entry) {
    Set<Entry> entries = entriesByUnit.get(entry.unit());
    if (entries != null) {
      entries.remove(entry);
      if (entries.isEmpty()) {
        entriesByUnit.remove(entry.unit());
      }
    }
  }

  /** Returns the number of waiting requests of a unit and class. */
  public synchronized int waitingCount(String unit, boolean interactive) {
    return (int)
        entriesByUnit.getOrDefault(unit, Set.of()).stream()
            .filter(entry -> entry.interactive() == interactive)
            .count();
  }

  /** Returns the number of units that requests wait for. */
  public synchronized int waitingUnitCount() {
    return entriesByUnit.size();
  }

  /** Returns the waiting requests by unit. */
  public synchronized Map<String, List<Entry>> snapshot() {
    Map<String, List<Entry>> snapshot = new HashMap<>();
    entriesByUnit.forEach((unit, entries) -> snapshot.put(unit, new ArrayList<>(entries)));
    return snapshot;
  }
}
