package io.nutmegseam.node.backend;

/** Receives the events of one completion in order. */
@FunctionalInterface
public interface CompletionListener {
  /**
   * Receives the data of an event.
   *
   * @param data JSON text of the event
   * @param position number of tokens up to and including this event
   * @return whether to continue reading the response
   */
  boolean onData(String data, int position);
}
