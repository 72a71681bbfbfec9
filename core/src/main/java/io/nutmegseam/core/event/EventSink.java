package io.nutmegseam.core.event;

/** Receives events for the log and the timeline. */
@FunctionalInterface
public interface EventSink {
  /**
   * Records an event.
   *
   * @param kind the kind of event
   * @param subject what the event is about, such as a model or a request id
   * @param detail additional information as plain text; may be empty
   */
  void record(EventKind kind, String subject, String detail);
}
