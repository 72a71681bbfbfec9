package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.GatewayLimits;
import io.nutmegseam.core.gateway.ServiceSpec;
import io.nutmegseam.core.platform.StorePosition;
import io.nutmegseam.node.rows.TableUpdate;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FleetControlTest {
  private static final Incarnation SERVER = new Incarnation("s1", 1);

  private final TestClock clock = new TestClock();
  private final GatewayState state = new GatewayState();
  private final FleetControl control =
      new FleetControl(
          state,
          new RowDecoders("config", "config", "servers", null, null),
          clock,
          (kind, subject, detail) -> {},
          () -> {});

  @BeforeEach
  void announceServer() {
    control.onServers(
        new TableUpdate<>(List.of(entry(inventory(1, "old"))), List.of(), 0, 1, true, 0, 0));
  }

  /** The holder of the order lease observes inventories before servers announce them. */
  @Nested
  class ObservedInventories {
    @Test
    void should_override_an_older_entry_and_keep_its_copies_on_disk() {
      // WHEN
      control.onInventory(SERVER, observed(2, "new"));
      control.publish();
      // THEN
      assertThat(published().adaptersByModel()).containsOnlyKeys("new");
      assertThat(published().onDisk()).containsExactlyInAnyOrder("old", "new");
    }

    @Test
    void should_follow_each_newer_inventory() {
      control.onInventory(SERVER, observed(2, "new"));
      control.publish();
      control.onInventory(SERVER, observed(3, "newer"));
      control.publish();
      assertThat(published().adaptersByModel()).containsOnlyKeys("newer");
    }

    @Test
    void should_follow_a_newer_entry_of_the_server() {
      control.onInventory(SERVER, observed(2, "new"));
      control.publish();
      control.onServers(
          new TableUpdate<>(List.of(entry(inventory(3, "newest"))), List.of(), 1, 2, false, 0, 0));
      assertThat(published().adaptersByModel()).containsOnlyKeys("newest");
    }

    @Test
    void should_lapse_without_a_repetition() {
      control.onInventory(SERVER, observed(2, "new"));
      control.publish();
      clock.advance(4_001);
      control.publish();
      assertThat(published().adaptersByModel()).containsOnlyKeys("old");
    }
  }

  /** The store returns from a copy that is older than what this node has read. */
  @Nested
  class RestoredStore {
    private final long restoredVersion = StorePosition.of(1, 1);

    @Test
    void should_keep_a_server_draining() {
      // GIVEN
      control.onServers(delta(2, entry(inventory(1, "old")).asDraining()));
      // WHEN the copy shows the server before it was drained
      control.onServers(full(restoredVersion, entry(inventory(1, "old"))));
      // THEN
      assertThat(state.fleet().entry(SERVER.id()).orElseThrow().draining()).isTrue();
    }

    @Test
    void should_not_list_a_removed_server_again() {
      // GIVEN
      removeServer();
      // WHEN
      control.onServers(full(restoredVersion, entry(inventory(1, "old"))));
      // THEN
      assertThat(state.fleet().entries()).isEmpty();
    }

    @Test
    void should_list_a_removed_server_that_writes_its_entry_again() {
      removeServer();
      control.onServers(full(restoredVersion, entry(inventory(1, "old"))));
      control.onServers(delta(restoredVersion + 1, entry(inventory(1, "old"))));
      assertThat(state.fleet().entries()).hasSize(1);
    }

    @Test
    void should_not_remove_a_server_at_once_whose_entry_the_copy_lacks() {
      control.onServers(
          new TableUpdate<>(List.of(), List.of(), 0, restoredVersion, true, 0, 2_500));
      assertThat(state.fleet().entries()).hasSize(1);
      clock.advance(2_500);
      control.publishIfDue();
      assertThat(state.fleet().entries()).isEmpty();
    }

    private void removeServer() {
      control.onServers(new TableUpdate<>(List.of(), List.of(SERVER.id()), 1, 2, false, 0, 0));
    }

    private TableUpdate<ServerEntry> full(long version, ServerEntry entry) {
      return new TableUpdate<>(List.of(entry), List.of(), 0, version, true, 0, 0);
    }

    private TableUpdate<ServerEntry> delta(long version, ServerEntry entry) {
      return new TableUpdate<>(List.of(entry), List.of(), version - 1, version, false, 0, 0);
    }
  }

  /**
   * Guards against entries of unknown services that take a server with their address out of use.
   */
  @Test
  void should_ignore_an_entry_of_a_service_that_is_not_configured() {
    // GIVEN
    state.setConfig(config(1, "llm"));
    ServerEntry other =
        new ServerEntry(
            new Incarnation("s2", 60_000),
            "unknown",
            "v1",
            "127.0.0.1",
            1,
            "dc",
            12,
            false,
            inventory(0, "old"));
    // WHEN
    control.onServers(new TableUpdate<>(List.of(other), List.of(), 1, 2, false, 0, 0));
    // THEN
    assertThat(state.fleet().entries()).extracting(e -> e.incarnation().id()).containsExactly("s1");
  }

  /** Guards against a server that is kept although the store was not away. */
  @Test
  void should_remove_an_entry_earlier_if_it_cannot_return() {
    // GIVEN
    control.onServers(new TableUpdate<>(List.of(), List.of(SERVER.id()), 1, 2, false, 0, 2_500));
    // WHEN
    control.limitRemovalGrace(0);
    // THEN
    assertThat(state.fleet().entries()).isEmpty();
  }

  private static GatewayConfig config(long version, String service) {
    return new GatewayConfig(
        version,
        List.of(),
        Map.of(service, new ServiceSpec(service, 10, Optional.empty())),
        new GatewayLimits(8_192, 8_192, 1_000, 5_000));
  }

  private Inventory published() {
    return state.fleet().entry(SERVER.id()).orElseThrow().inventory();
  }

  private static ServerEntry entry(Inventory inventory) {
    return new ServerEntry(SERVER, "llm", "v1", "127.0.0.1", 1, "dc", 12, false, inventory);
  }

  private static Inventory inventory(long orderCount, String model) {
    return new Inventory(orderCount, false, Map.of(model, Set.of()), Set.of(), Set.of(model));
  }

  private static Inventory observed(long orderCount, String model) {
    return new Inventory(orderCount, false, Map.of(model, Set.of()), Set.of(), Set.of());
  }
}
