package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.node.peer.generated.FleetNews;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetUpdateBuilderTest {
  private static final int SERVERS = 62;

  private final TestClock clock = new TestClock();
  private final FleetUpdateBuilder sender = new FleetUpdateBuilder(clock);
  private final Map<Incarnation, Inventory> inventories = new HashMap<>();

  /** Pattern: many servers swap models, and many nodes have to hear of it. */
  @Nested
  class ManyServers {
    @Test
    void should_include_all_servers_in_the_first_update_and_then_only_changed_ones() {
      // GIVEN
      for (int i = 0; i < SERVERS; i++) {
        hold("s" + i, "m" + i);
      }
      FleetNews first = next().orElseThrow();
      clock.advance(50);
      // WHEN
      hold("s7", "other");
      FleetNews second = next().orElseThrow();
      // THEN
      assertThat(first.getHoldingsCount()).isEqualTo(SERVERS);
      assertThat(second.getHoldingsCount()).isEqualTo(1);
      assertThat(second.getHoldings(0).getServer()).isEqualTo("s7");
    }

    @Test
    void should_return_no_update_while_nothing_changes() {
      hold("s0", "m0");
      next();
      clock.advance(50);
      assertThat(next()).isEmpty();
    }

    @Test
    void should_repeat_the_full_update_before_receivers_discard_it() {
      // GIVEN
      hold("s0", "m0");
      hold("s1", "m1");
      next();
      // WHEN
      clock.advance(1_500);
      // THEN
      assertThat(next().orElseThrow().getHoldingsCount()).isEqualTo(2);
    }

    @Test
    void should_include_server_loads_less_often_than_inventories() {
      // GIVEN
      next();
      clock.advance(50);
      hold("s0", "m0");
      FleetNews soon = next().orElseThrow();
      // WHEN
      clock.advance(450);
      FleetNews later = next().orElseThrow();
      // THEN
      assertThat(soon.getUsesCount()).isZero();
      assertThat(later.getUsesCount()).isEqualTo(1);
    }
  }

  private void hold(String server, String model) {
    inventories.put(
        new Incarnation(server, 1),
        new Inventory(1, false, Map.of(model, Set.of()), Set.of(), Set.of()));
  }

  private Optional<FleetNews> next() {
    return sender.nextUpdate(
        new FleetUpdateBuilder.FleetSnapshot(inventories, Map.of(), Map.of("s0", 3), 84));
  }
}
