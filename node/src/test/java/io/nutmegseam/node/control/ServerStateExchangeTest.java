package io.nutmegseam.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.config.BackendServerRecord;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.ServerState;
import io.nutmegseam.node.peer.generated.ServerStates;
import java.time.Clock;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A node that receives the states of servers from their owners. */
class ServerStateExchangeTest {
  private static final BackendServerRecord SERVER =
      new BackendServerRecord(
          "engine-a1", "http://127.0.0.1:1", "dc-a", "vm-1", "", 1, 1, 60, true, false);

  private final ServerStateExchange exchange =
      new ServerStateExchange(
          new Unconnected(), new ServerLoadTracker(Clock.systemUTC()), node -> true);

  // Guards against a node that finds no server for a model until its owner publishes again, since
  // the owner had read the record of the server earlier.
  @Test
  void should_keep_a_state_that_comes_before_the_record_of_its_server() {
    // GIVEN
    exchange.onPeerStates(reachable());
    // WHEN records as of an earlier time are read
    exchange.setConfigured(List.of());
    exchange.setConfigured(List.of(SERVER));
    // THEN
    assertThat(exchange.views().get("engine-a1").reachable()).isTrue();
  }

  @Test
  void should_not_show_a_server_that_is_not_configured() {
    // WHEN
    exchange.onPeerStates(reachable());
    // THEN
    assertThat(exchange.views()).isEmpty();
  }

  @Test
  void should_remove_the_state_of_a_server_that_is_no_longer_configured() {
    // GIVEN
    exchange.setConfigured(List.of(SERVER));
    exchange.onPeerStates(reachable());
    // WHEN
    exchange.setConfigured(List.of());
    exchange.setConfigured(List.of(SERVER));
    // THEN
    assertThat(exchange.views()).isEmpty();
  }

  private static ServerStates reachable() {
    ServerState state =
        ServerState.newBuilder()
            .setServer("engine-a1")
            .setEpoch(1)
            .setSequence(1)
            .setReachable(true)
            .build();
    return ServerStates.newBuilder().addStates(state).build();
  }

  private static final class Unconnected implements PeerTransport {
    @Override
    public boolean send(String node, PeerFrame.Builder frame) {
      return false;
    }

    @Override
    public Set<String> connectedNodes() {
      return Set.of();
    }
  }
}
