package io.nutmegseam.node.connection;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Holds a connection to a process, and replaces it when it has ended. Confined to the traffic
 * thread.
 */
public final class HeldConnectionKeeper {
  /**
   * Longest wait between attempts, in ticks: a server beyond its limit of connections resets each
   * new one.
   */
  private static final int MAX_RETRY_TICKS = 16;

  private final Source source;
  private final Runnable onHeld;
  private Optional<HeldConnection> held = Optional.empty();
  private boolean connecting;
  private boolean closed;
  private int retryTicks = 1;
  private int ticksLeft;

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
   * Creates a keeper and holds a connection.
   *
   * @param source takes or opens a connection
   * @param onHeld called when a connection was opened, but not for an idle one that is held at once
   */
  public HeldConnectionKeeper(Source source, Runnable onHeld) {
    this.source = source;
    this.onHeld = onHeld;
    hold();
  }

  /** Returns the held connection if no end of it has been read. */
  public Optional<HeldConnection> current() {
    return held.filter(HeldConnection::isOpen);
  }

  /** Replaces the connection if it has ended; call at regular intervals. */
  public void tick() {
    if (current().isPresent()) {
      retryTicks = 1;
      ticksLeft = 0;
    } else if (!connecting && --ticksLeft <= 0) {
      ticksLeft = retryTicks;
      retryTicks = Math.min(MAX_RETRY_TICKS, 2 * retryTicks);
      hold();
    }
  }

  /** Gives the connection back for requests. */
  public void close() {
    closed = true;
    held.ifPresent(HeldConnection::release);
    held = Optional.empty();
  }

  private void hold() {
    connecting = true;
    boolean[] returned = {false};
    source.hold(
        connection -> {
          connecting = false;
          if (closed) {
            connection.ifPresent(HeldConnection::release);
          } else {
            held = connection;
            if (returned[0] && connection.isPresent()) {
              onHeld.run();
            }
          }
        });
    returned[0] = true;
  }
}
