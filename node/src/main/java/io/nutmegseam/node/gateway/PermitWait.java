package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.node.quota.SendPermit;
import io.nutmegseam.node.quota.SendQuotas;
import java.util.function.Consumer;

/**
 * The wait of one request for the permit to be sent to a server. Confined to the traffic thread.
 */
final class PermitWait {
  private final SendQuotas quotas;
  private SendPermit permit = SendPermit.DONE;
  private boolean waiting;
  private int lastRequest;

  /**
   * Creates a wait that has not begun.
   *
   * @param quotas grants the permits
   */
  PermitWait(SendQuotas quotas) {
    this.quotas = quotas;
  }

  /** Returns whether the outcome of a request for a permit is open. */
  boolean isPending() {
    return waiting;
  }

  /**
   * Asks for a permit instead of the one that may have been asked for.
   *
   * @param selection the servers that can serve the request
   * @param server the chosen one
   * @param onGranted receives the server when the request may be sent
   * @param onDenied called if the request may not be sent to the server
   */
  void acquire(
      ServerSelection selection,
      ServerEntry server,
      Consumer<ServerEntry> onGranted,
      Runnable onDenied) {
    cancel();
    waiting = true;
    int request = ++lastRequest;
    SendPermit acquired =
        quotas.acquire(
            server,
            selection.termsFor(server),
            new SendPermit.Listener() {
              @Override
              public void onGranted() {
                waiting = false;
                onGranted.accept(server);
              }

              @Override
              public void onDenied() {
                waiting = false;
                onDenied.run();
              }
            });
    // The outcome may be known already, and have led to the next request.
    if (waiting && request == lastRequest) {
      permit = acquired;
    }
  }

  /** Ends the wait; neither callback is called any more. */
  void cancel() {
    if (waiting) {
      waiting = false;
      permit.cancel();
    }
  }
}
