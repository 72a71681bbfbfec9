package io.nutmegseam.node.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Holds two connections to a process that were opened at different times, so that the server does
 * not close both at the same moment because they are idle. Replaces those that have ended or are
 * likely to end soon. Confined to the traffic thread.
 */
public final class HeldConnectionKeeper {
  /**
   * Longest wait between attempts, in ticks: a server beyond its limit of connections resets each
   * new one.
   */
  private static final int MAX_RETRY_TICKS = 16;

  private static final int MAX_HELD = 2;

  /** Ticks between the two connections; longer than the check of an end takes. */
  private static final int STAGGER_TICKS = 2;

  private final Source source;
  private final Runnable onHeld;
  private final Runnable onEnded;

  /** The connections, the one that was held last at the end. */
  private final Deque<HeldConnection> held = new ArrayDeque<>();

  /** The outcome of the last attempt. */
  private Optional<HeldConnection> latest = Optional.empty();

  private boolean connecting;
  private boolean closed;
  private int retryTicks = 1;
  private int ticksLeft;
  private int ticksSinceHeld;

  /** Takes an idle connection to the process, or opens one. */
  @FunctionalInterface
  public interface Source {
    /**
     * Holds a connection.
     *
     * @param onOutcome receives the connection, at once if one was idle; empty if none can be
     *     opened
     */
    void hold(Consumer<Optional<HeldConnection>> onOutcome);
  }

  /**
   * Creates a keeper and holds a connection; a second one at once if the first had been idle
   * before, so that their ages differ.
   *
   * @param source takes or opens a connection
   * @param onHeld called when a connection was opened, but not for an idle one that is held at once
   * @param onEnded called when the end of a held connection has been read
   */
  public HeldConnectionKeeper(Source source, Runnable onHeld, Runnable onEnded) {
    this.source = source;
    this.onHeld = onHeld;
    this.onEnded = onEnded;
    hold();
    if (!held.isEmpty()) {
      hold();
    }
  }

  /** Returns the held connections of which no end has been read. */
  public List<HeldConnection> open() {
    return held.stream().filter(HeldConnection::isOpen).toList();
  }

  /** Replaces connections if necessary; call at regular intervals. */
  public void tick() {
    if (latest.filter(HeldConnection::isOpen).isPresent()) {
      retryTicks = 1;
      ticksLeft = 0;
    }
    held.removeIf(connection -> !connection.isOpen());
    ticksSinceHeld++;
    if (ticksLeft > 0) {
      ticksLeft--;
    }
    if (!connecting && ticksLeft == 0 && needsConnection()) {
      ticksLeft = retryTicks;
      retryTicks = Math.min(MAX_RETRY_TICKS, 2 * retryTicks);
      hold();
    }
  }

  /** Gives the connections back for requests. */
  public void close() {
    closed = true;
    held.forEach(HeldConnection::release);
    held.clear();
  }

  private boolean needsConnection() {
    if (held.isEmpty()) {
      return true;
    }
    boolean tooFew = held.size() < MAX_HELD || held.getLast().isHalfwayToIdleLimit();
    return tooFew && ticksSinceHeld >= STAGGER_TICKS;
  }

  private void hold() {
    connecting = true;
    boolean[] returned = {false};
    source.hold(
        connection -> {
          connecting = false;
          latest = connection;
          if (closed) {
            connection.ifPresent(HeldConnection::release);
          } else if (connection.isPresent()) {
            add(connection.get());
            if (returned[0]) {
              onHeld.run();
            }
          }
        });
    returned[0] = true;
  }

  private void add(HeldConnection connection) {
    ticksSinceHeld = 0;
    held.addLast(connection);
    connection.onEnded(onEnded);
    if (held.size() > MAX_HELD) {
      held.removeFirst().release();
    }
  }
}
