package io.nutmegseam.core.coldstart;

/** A load or unload that the owner of a backend server should order. */
public sealed interface SchedulingDecision {
  /**
   * Load a unit as soon as the weight-store budget permits.
   *
   * @param demand the waiting requests
   */
  record Load(Demand demand) implements SchedulingDecision {}

  /**
   * Unload a unit.
   *
   * @param unit the model or adapter
   * @param reason reason for the event log
   */
  record Unload(String unit, String reason) implements SchedulingDecision {}
}
