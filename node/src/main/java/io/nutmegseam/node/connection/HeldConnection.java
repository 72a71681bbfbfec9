package io.nutmegseam.node.connection;

/**
 * A connection without a request that is kept open. While it is open, the process that accepted it
 * has not ended, since a process ends all of its connections with itself. Its end alone does not
 * show the end of the process, since servers close idle connections. Confined to the traffic
 * thread.
 */
public interface HeldConnection {
  /** Returns whether the connection is held and no end of it has been read. */
  boolean isOpen();

  /** Returns whether the end of the connection was read while it was held. */
  boolean hasEnded();

  /** Returns the monotonic time since which it has carried no request, in milliseconds. */
  long idleSinceMillis();

  /**
   * Returns whether the connection is, or was at its end, close to the time after which its server
   * closes idle connections; false as long as that time is not known.
   */
  boolean isNearIdleLimit();

  /** Returns whether half of the time has passed after which its server closes it. */
  boolean isHalfwayToIdleLimit();

  /** Sets the action to run when the end of the connection is read, unless it is released. */
  void onEnded(Runnable action);

  /** Gives the connection back for requests. */
  void release();
}
