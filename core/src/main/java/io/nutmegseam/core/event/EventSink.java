package io.nutmegseam.core.event;

/** Receives events for the log and the time line. */
@FunctionalInterface
public interface EventSink {
  /**
   * Records one event.
   *
   * @param kind the kind of event
   * @param subject what the event is about, such as a model or a request id
   * @param detail further facts in plain words; may be empty
   */
  void record(EventKind kind, String subject, String detail);
}
