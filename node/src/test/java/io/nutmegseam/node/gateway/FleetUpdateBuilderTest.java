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
  private final FleetUpdateBuilder builder = new FleetUpdateBuilder(clock);
  private final Map<Incarnation, Inventory> inventories = new HashMap<>();

  /** Many servers swap models, and many nodes receive the updates. */
  @Nested
  class ManyServers {
    @Test
    void should_include_all_servers_in_the_first_update_and_then_only_changed_ones() {
      // GIVEN
      for (int i = 0; i < SERVERS; i++) {
        load("s" + i, "m" + i);
      }
      FleetNews first = nextUpdate().orElseThrow();
      clock.advance(50);
      // WHEN
      load("s7", "other");
      FleetNews second = nextUpdate().orElseThrow();
      // THEN
      assertThat(first.getHoldingsCount()).isEqualTo(SERVERS);
      assertThat(second.getHoldingsCount()).isEqualTo(1);
      assertThat(second.getHoldings(0).getServer()).isEqualTo("s7");
    }

    @Test
    void should_return_no_update_while_nothing_changes() {
      load("s0", "m0");
      nextUpdate();
      clock.advance(50);
      assertThat(nextUpdate()).isEmpty();
    }

    @Test
    void should_repeat_the_full_update_before_receivers_discard_it() {
      // GIVEN
      load("s0", "m0");
      load("s1", "m1");
      nextUpdate();
      // WHEN
      clock.advance(1_500);
      // THEN
      assertThat(nextUpdate().orElseThrow().getHoldingsCount()).isEqualTo(2);
    }

    @Test
    void should_include_server_loads_less_often_than_inventories() {
      // GIVEN
      nextUpdate();
      clock.advance(50);
      load("s0", "m0");
      FleetNews early = nextUpdate().orElseThrow();
      // WHEN
      clock.advance(450);
      FleetNews later = nextUpdate().orElseThrow();
      // THEN
      assertThat(early.getUsesCount()).isZero();
      assertThat(later.getUsesCount()).isEqualTo(1);
    }
  }

  private void load(String server, String model) {
    inventories.put(
        new Incarnation(server, 1),
        new Inventory(1, false, Map.of(model, Set.of()), Set.of(), Set.of()));
  }

  private Optional<FleetNews> nextUpdate() {
    return builder.nextUpdate(
        new FleetUpdateBuilder.FleetSnapshot(inventories, Map.of(), Map.of("s0", 3), 84));
  }
}
