package io.nutmegseam.node.quota;

/** A request for the permit to send a request to a server with limits. */
public interface SendPermit {
  /** A permit whose outcome needs no further handling. */
  SendPermit DONE = () -> {};

  /**
   * Ends the request for a permit. Without an outcome yet, its listener is not called any more; a
   * permit that was granted counts as unused.
   */
  void cancel();
}
