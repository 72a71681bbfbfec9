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

  /** Receives the outcome of a request for a permit, once at most. */
  interface Listener {
    /** Handles a permit; the request is to be sent now. */
    void onGranted();

    /**
     * Handles a denial; {@link SendQuotas#exhaustedMillis} tells when the server may be asked for
     * again.
     */
    void onDenied();
  }
}
