package io.nutmegseam.node.gateway;

import java.time.InstantSource;

/** Lets the requests in flight end before the node stops. */
final class RequestDrain {
  private static final long POLL_MILLIS = 50;

  /** A stopping node accepts requests until the load balancer has noticed that it is not ready. */
  private static final long LINGER_MILLIS = 2_500;

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

  /** Waits until no request is in flight, or until a monotonic time. */
  void run(long untilMillis) {
    long startedMillis = clock.millis();
    boolean lingering = true;
    while (clock.millis() < untilMillis && (lingering || server.inFlight() > 0)) {
      lingering = clock.millis() - startedMillis < LINGER_MILLIS;
      if (!lingering) {
        server.stopListening();
      }
      if (clock.millis() > untilMillis - REFUSAL_MILLIS) {
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
