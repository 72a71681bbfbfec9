package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A node that does not reach servers is cut off from them, or the servers have crashed. */
class ServerReachTest {
  private static final int SERVERS = 8;
  private static final long STEP_MILLIS = 250;

  private final TestClock clock = new TestClock();
  private final GatewayState state = new GatewayState();
  private final Map<String, ServerEntry> listed = new HashMap<>();
  private final Set<String> unreachable = new HashSet<>();
  private final List<Delayed> delayed = new ArrayList<>();
  private final ServerReach reach =
      new ServerReach(
          state,
          clock,
          (server, onOutcome) ->
              onOutcome.accept(Optional.of(!unreachable.contains(server.incarnation().id()))),
          (delayMillis, task) -> delayed.add(new Delayed(clock.millis() + delayMillis, task)),
          new Random(1),
          (kind, subject, detail) -> {});

  private record Delayed(long atMillis, Runnable task) {}

  ServerReachTest() {
    for (int i = 0; i < SERVERS; i++) {
      listed.put("i" + i, entry("i" + i));
    }
    state.setFleet(new Fleet(listed));
    clock.advance(10_000);
  }

  /**
   * Guards against a holder of the order lease that releases it since servers have crashed: nobody
   * sends orders until the next tenure, which knows nothing of the loads in flight.
   */
  @Nested
  class CrashedServers {
    @Test
    void should_leave_the_node_fit_for_orders_until_they_are_not_listed_any_more() {
      // GIVEN
      loseServers(5);
      reach.onFailed();
      assertThat(reach.reach()).isEqualTo(ServerReach.Reach.IMPAIRED);
      boolean alwaysFit = advanceUntilUnfit(3_000);
      // WHEN the platform removes them
      listed.keySet().removeAll(unreachable);
      state.setFleet(new Fleet(listed));
      alwaysFit &= advanceUntilUnfit(10_000);
      // THEN
      assertThat(alwaysFit).isTrue();
      assertThat(reach.reach()).isEqualTo(ServerReach.Reach.FULL);
    }
  }

  /** Guards against a holder of the order lease that cannot send orders to most servers. */
  @Nested
  class CutOffNode {
    @Test
    void should_be_unfit_for_orders_at_once_if_it_reaches_no_server() {
      loseServers(SERVERS);
      reach.onFailed();
      assertThat(reach.isUnfitForOrders()).isTrue();
    }

    @Test
    void should_be_unfit_for_orders_if_servers_that_it_does_not_reach_stay_listed() {
      loseServers(5);
      reach.onFailed();
      assertThat(advanceUntilUnfit(5_000)).isFalse();
    }

    @Test
    void should_be_fit_again_when_it_reaches_them() {
      // GIVEN
      loseServers(5);
      reach.onFailed();
      advanceUntilUnfit(5_000);
      // WHEN
      unreachable.clear();
      clock.advance(1_000);
      runDelayed();
      // THEN
      assertThat(reach.isUnfitForOrders()).isFalse();
    }
  }

  private void loseServers(int count) {
    for (int i = 0; i < count; i++) {
      unreachable.add("i" + i);
    }
  }

  /** Advances the clock; returns whether the node was fit for orders all the while. */
  private boolean advanceUntilUnfit(long millis) {
    long untilMillis = clock.millis() + millis;
    while (clock.millis() < untilMillis) {
      clock.advance(STEP_MILLIS);
      runDelayed();
      if (reach.isUnfitForOrders()) {
        return false;
      }
    }
    return true;
  }

  private void runDelayed() {
    List<Delayed> due = delayed.stream().filter(d -> d.atMillis() <= clock.millis()).toList();
    delayed.removeAll(due);
    due.forEach(d -> d.task().run());
  }

  private static ServerEntry entry(String id) {
    return new ServerEntry(
        new Incarnation(id, 1),
        "s",
        "v1",
        "127.0.0.1",
        1,
        "dc",
        8,
        false,
        new Inventory(0, false, Map.of(), Set.of(), Set.of()));
  }
}
