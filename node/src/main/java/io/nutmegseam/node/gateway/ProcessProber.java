package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.ServerEntry;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Asks whether the process of a server listens. A process that a later one has superseded at its
 * address does not, whatever a connection to the address shows. Confined to the traffic thread.
 */
final class ProcessProber implements ServerReach.Prober {
  private final ServerReach.Prober addressProber;
  private final GatewayState state;

  /**
   * Creates a prober.
   *
   * @param addressProber opens a connection to the address of a server
   * @param state the listed servers
   */
  ProcessProber(ServerReach.Prober addressProber, GatewayState state) {
    this.addressProber = addressProber;
    this.state = state;
  }

  @Override
  public void probe(ServerEntry server, Consumer<Optional<Boolean>> onOutcome) {
    addressProber.probe(
        server,
        listens ->
            onOutcome.accept(state.fleet().isSuperseded(server) ? Optional.of(false) : listens));
  }
}
