package io.nutmegseam.node.gateway;

import java.time.InstantSource;

/** Lets the requests in flight end before the node stops. */
final class RequestDrain {
  private static final long POLL_MILLIS = 50;

  /** Requests that still wait for a model are refused this long before the drain ends. */
  private static final long REFUSAL_MILLIS = 700;

  private final InstantSource clock;
  private final GatewayServer server;
  private final Runnable refuseWaiting;

  /**
   * Creates a drain.
   *
   * @param clock monotonic clock
   * @param server accepts the requests
   * @param refuseWaiting refuses the requests that wait for a model
   */
  RequestDrain(InstantSource clock, GatewayServer server, Runnable refuseWaiting) {
    this.clock = clock;
    this.server = server;
    this.refuseWaiting = refuseWaiting;
  }

  /**
   * Waits until no request is in flight, or until the window ends.
   *
   * @param window the time of the drain; connections are accepted while it admits all requests
   */
  void run(DrainWindow window) {
    boolean lingering = true;
    while (clock.millis() < window.endMillis() && (lingering || server.inFlight() > 0)) {
      lingering = clock.millis() < window.admitAllUntilMillis();
      if (!lingering) {
        server.stopListening();
      }
      if (clock.millis() > window.endMillis() - REFUSAL_MILLIS) {
        refuseWaiting.run();
      }
      server.closeIdle();
      pause(POLL_MILLIS);
    }
  }

  /** Waits for a time, in milliseconds. */
  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
