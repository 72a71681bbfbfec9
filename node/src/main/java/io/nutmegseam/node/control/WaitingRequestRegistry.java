package io.nutmegseam.node.control;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The callers' requests that wait for a model or adapter at this node. */
public final class WaitingRequestRegistry {
  private final Clock clock;
  private final Runnable onFirst;
  private final Map<String, Set<Entry>> ticketsByUnit = new HashMap<>();

  /**
   * One waiting request.
   *
   * @param id names the request
   * @param unit the model or adapter
   * @param interactive its class
   * @param deadlineMillis monotonic time at which waiting is of no use any more
   * @param waitingSinceMillis monotonic time at which it began to wait
   * @param needsScaleUp whether a replica is loaded but too busy
   */
  public record Entry(
      String id,
      String unit,
      boolean interactive,
      long deadlineMillis,
      long waitingSinceMillis,
      boolean needsScaleUp) {}

  /**
   * Creates a board.
   *
   * @param clock monotonic clock
   * @param onFirst runs when the first request begins to wait for a unit; must not block
   */
  public WaitingRequestRegistry(Clock clock, Runnable onFirst) {
    this.clock = clock;
    this.onFirst = onFirst;
  }

  /** Notes that a request waits. */
  public Entry add(
      String id, String unit, boolean interactive, long deadlineMillis, boolean scaleUp) {
    Entry ticket = new Entry(id, unit, interactive, deadlineMillis, clock.millis(), scaleUp);
    boolean first;
    synchronized (this) {
      Set<Entry> tickets = ticketsByUnit.computeIfAbsent(unit, k -> new HashSet<>());
      first = tickets.isEmpty();
      tickets.add(ticket);
    }
    if (first) {
      onFirst.run();
    }
    return ticket;
  }

  /** Notes that a request waits no more. */
  public synchronized void remove(Entry ticket) {
    Set<Entry> tickets = ticketsByUnit.get(ticket.unit());
    if (tickets != null) {
      tickets.remove(ticket);
      if (tickets.isEmpty()) {
        ticketsByUnit.remove(ticket.unit());
      }
    }
  }

  /** Returns the number of waiting requests of a unit and class. */
  public synchronized int waitingCount(String unit, boolean interactive) {
    return (int)
        ticketsByUnit.getOrDefault(unit, Set.of()).stream()
            .filter(ticket -> ticket.interactive() == interactive)
            .count();
  }

  /** Returns the number of units that requests wait for. */
  public synchronized int waitingUnitCount() {
    return ticketsByUnit.size();
  }

  /** Returns the waiting requests by unit. */
  public synchronized Map<String, List<Entry>> snapshot() {
    Map<String, List<Entry>> snapshot = new HashMap<>();
    ticketsByUnit.forEach((unit, tickets) -> snapshot.put(unit, new ArrayList<>(tickets)));
    return snapshot;
  }
}
