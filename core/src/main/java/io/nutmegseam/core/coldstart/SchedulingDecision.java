package io.nutmegseam.core.coldstart;

/** What the owner of a server should do next. */
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
   * @param reason why, in plain words
   */
  record Unload(String unit, String reason) implements SchedulingDecision {}
}
