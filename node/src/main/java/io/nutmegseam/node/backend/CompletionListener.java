package io.nutmegseam.node.backend;

/** Receives the parts of one completion in order. */
@FunctionalInterface
public interface CompletionListener {
  /**
   * Receives one event's data.
   *
   * @param data JSON text of the event
   * @param position number of tokens up to and including this event
   * @return false to stop reading
   */
  boolean onData(String data, int position);
}
