package io.nutmegseam.node.allotment;

/** The charge of one request to the allotment of its tenant. */
@FunctionalInterface
public interface RequestCharge {
  /** The charge of a request without an allotment. */
  RequestCharge NONE = mayHaveRun -> {};

  /**
   * Ends the charge; called when the request has ended. The cost is credited if it did not run.
   *
   * @param mayHaveRun whether the request may have run at a server
   */
  void end(boolean mayHaveRun);
}
