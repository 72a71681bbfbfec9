package io.nutmegseam.node.connection;

/**
 * A connection without a request that is kept open. While it is open, the process that accepted it
 * has not ended, since a process ends all of its connections with itself. Confined to the traffic
 * thread.
 */
public interface HeldConnection {
  /** Returns whether no end of the connection has been read. */
  boolean isOpen();

  /** Returns the monotonic time since which it has carried no request, in milliseconds. */
  long idleSinceMillis();

  /** Gives the connection back for requests. */
  void release();
}
