package io.nutmegseam.node.gateway;

/**
 * Whether the connection of a response is read from, so that its end would be seen. Confined to the
 * traffic thread.
 */
final class ResponseReading {
  private boolean paused;
  private boolean ended;
  private boolean closed;
  private int pauses;

  /** Notes that reading is paused or resumed, for a caller that reads slowly. */
  void onReading(boolean reading) {
    paused = !reading;
    pauses += reading ? 0 : 1;
  }

  /** Notes that the end of the connection has been read. */
  void onEnded() {
    ended = true;
  }

  /** Notes that this node has closed the connection, so that it tells nothing any more. */
  void onClosed() {
    closed = true;
  }

  /** Returns whether the end of the connection has been read. */
  boolean hasEnded() {
    return ended;
  }

  /** Returns whether this node has closed the connection. */
  boolean isClosed() {
    return closed;
  }

  /** Returns whether the connection is read from and no end of it has been read. */
  boolean isActive() {
    return !paused && !ended && !closed;
  }

  /** Returns how often reading was paused. */
  int pauses() {
    return pauses;
  }
}
