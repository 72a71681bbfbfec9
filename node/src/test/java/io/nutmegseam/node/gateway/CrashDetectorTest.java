package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.crash.Fingerprint;
import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A server that refuses connections right after one was lost has crashed. */
class CrashDetectorTest {
  private static final ServerEntry SERVER =
      new ServerEntry(
          new Incarnation("i1", 1),
          "s",
          "v1",
          "127.0.0.1",
          1,
          "dc",
          8,
          false,
          new Inventory(0, false, Map.of(), Set.of(), Set.of()));

  private static final RequestFingerprints FINGERPRINTS =
      new RequestFingerprints(new Fingerprint(1), List.of());

  private final GatewayState state = new GatewayState();
  private final List<Runnable> delayed = new ArrayList<>();
  private final List<String> evidence = new ArrayList<>();
  private final CrashDetector detector =
      new CrashDetector(
          () -> Instant.EPOCH,
          state,
          (server, onOutcome) -> onOutcome.accept(Optional.of(false)),
          (delayMillis, task) -> delayed.add(task),
          (report, shownBy) -> evidence.add(shownBy));

  CrashDetectorTest() {
    state.setFleet(new Fleet(Map.of("i1", SERVER)));
  }

  @Nested
  class RefusedConnection {
    @Test
    void should_show_a_crash_to_a_node_that_reaches_other_servers() {
      // GIVEN
      state.setReach(ServerReach.Reach.FULL, true);
      // WHEN
      detector.onConnectionLost(SERVER, FINGERPRINTS);
      runDelayed();
      // THEN
      assertThat(evidence).containsExactly("connection refused");
    }

    /**
     * Guards against requests that are refused everywhere as crashing servers, since a node which
     * is cut off from all servers takes the reset connections for crashes.
     */
    @Test
    void should_show_nothing_to_a_node_that_is_cut_off_from_servers() {
      // GIVEN
      state.setReach(ServerReach.Reach.NONE, true);
      // WHEN
      detector.onConnectionLost(SERVER, FINGERPRINTS);
      runDelayed();
      // THEN
      assertThat(evidence).isEmpty();
    }
  }

  private void runDelayed() {
    List.copyOf(delayed).forEach(Runnable::run);
  }
}
