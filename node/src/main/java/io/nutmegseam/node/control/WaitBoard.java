package io.nutmegseam.node.control;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The callers' requests that wait for a model or adapter at this node. */
public final class WaitBoard {
  private final Clock clock;
  private final Runnable onFirst;
  private final Map<String, Set<Ticket>> ticketsByUnit = new HashMap<>();

  /**
   * One waiting request.
   *
   * @param id names the request
   * @param unit the model or adapter
   * @param interactive its class
   * @param deadlineMillis monotonic time at which waiting is of no use any more
   * @param sinceMillis monotonic time at which it began to wait
   * @param scaleUp whether a replica is loaded but too busy
   */
  public record Ticket(
      String id,
      String unit,
      boolean interactive,
      long deadlineMillis,
      long sinceMillis,
      boolean scaleUp) {}

  /**
   * Creates a board.
   *
   * @param clock monotonic clock
   * @param onFirst runs when the first request begins to wait for a unit; must not block
   */
  public WaitBoard(Clock clock, Runnable onFirst) {
    this.clock = clock;
    this.onFirst = onFirst;
  }

  /** Notes that a request waits. */
  public Ticket add(
      String id, String unit, boolean interactive, long deadlineMillis, boolean scaleUp) {
    Ticket ticket = new Ticket(id, unit, interactive, deadlineMillis, clock.millis(), scaleUp);
    boolean first;
    synchronized (this) {
      Set<Ticket> tickets = ticketsByUnit.computeIfAbsent(unit, k -> new HashSet<>());
      first = tickets.isEmpty();
      tickets.add(ticket);
    }
    if (first) {
      onFirst.run();
    }
    return ticket;
  }

  /** Notes that a request waits no more. */
  public synchronized void remove(Ticket ticket) {
    Set<Ticket> tickets = ticketsByUnit.get(ticket.unit());
    if (tickets != null) {
      tickets.remove(ticket);
      if (tickets.isEmpty()) {
        ticketsByUnit.remove(ticket.unit());
      }
    }
  }

  /** Returns the number of waiting requests of a unit and class. */
  public synchronized int waiting(String unit, boolean interactive) {
    return (int)
        ticketsByUnit.getOrDefault(unit, Set.of()).stream()
            .filter(ticket -> ticket.interactive() == interactive)
            .count();
  }

  /** Returns the number of units that requests wait for. */
  public synchronized int waitingUnits() {
    return ticketsByUnit.size();
  }

  /** Returns the waiting requests by unit. */
  public synchronized Map<String, List<Ticket>> snapshot() {
    Map<String, List<Ticket>> snapshot = new HashMap<>();
    ticketsByUnit.forEach((unit, tickets) -> snapshot.put(unit, new ArrayList<>(tickets)));
    return snapshot;
  }
}
