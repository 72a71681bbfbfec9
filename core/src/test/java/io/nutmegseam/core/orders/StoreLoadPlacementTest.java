package io.nutmegseam.core.orders;

import static io.nutmegseam.core.orders.FleetFixtures.engine;
import static io.nutmegseam.core.orders.FleetFixtures.ref;
import static io.nutmegseam.core.orders.FleetFixtures.server;
import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.quota.ServerLimits;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against loads from the weight store that bring no model into service. */
class StoreLoadPlacementTest {
  private static final ModelDemand REFUSED = new ModelDemand(0, 0, Long.MAX_VALUE, 0.2, 3);

  private final SwapPlanner planner = new SwapPlanner();

  /** A server that goes down and up by turns is found empty each time. */
  @Nested
  class RestartedServers {
    @Test
    void should_prefer_a_server_that_has_been_in_the_fleet_for_long() {
      // GIVEN an empty server that has just joined, and one with a model that can be evicted
      List<ServerOrderState> servers =
          List.of(
              withConduct(server("s1", Set.of(), Set.of()), new ServerConduct(true, true)),
              server("s2", Set.of("idle"), Set.of("idle")));
      // WHEN
      List<ModelOrder> orders = planner.plan(snapshot(servers, REFUSED, 1, 0)).orders();
      // THEN
      assertThat(orders).extracting(order -> order.server().id()).containsExactly("s2");
    }

    @Test
    void should_use_a_server_that_has_just_joined_if_there_is_no_other() {
      List<ServerOrderState> servers =
          List.of(withConduct(server("s1", Set.of(), Set.of()), new ServerConduct(true, true)));
      assertThat(planner.plan(snapshot(servers, REFUSED, 1, 0)).orders())
          .extracting(order -> order.server().id())
          .containsExactly("s1");
    }
  }

  @Nested
  class SilentServers {
    @Test
    void should_not_load_a_model_from_the_store_that_a_server_without_report_announces() {
      List<ServerOrderState> servers =
          List.of(
              withConduct(server("s1", Set.of(), Set.of("rare")), new ServerConduct(false, true)),
              server("s2", Set.of(), Set.of("idle")));
      assertThat(planner.plan(snapshot(servers, REFUSED, 1, 0)).orders()).isEmpty();
    }

    @Test
    void should_send_no_order_to_a_server_that_the_last_one_has_not_reached() {
      List<ServerOrderState> servers =
          List.of(
              withConduct(server("s1", Set.of(), Set.of()), new ServerConduct(false, false)),
              server("s2", Set.of(), Set.of("idle")));
      assertThat(planner.plan(snapshot(servers, REFUSED, 1, 0)).orders())
          .extracting(order -> order.server().id())
          .containsExactly("s2");
    }
  }

  /** A server that crashes keeps its disk, and may be listed again within seconds. */
  @Nested
  class CrashedServers {
    private final List<ServerOrderState> left = List.of(server("s2", Set.of(), Set.of("idle")));

    @Test
    void should_wait_for_a_crashed_server_before_a_load_from_the_store() {
      // GIVEN
      planner.plan(snapshot(List.of(withRare(false), left.get(0)), REFUSED, 0, 0));
      // THEN
      assertThat(planner.plan(snapshot(left, REFUSED, 1, 500)).orders()).isEmpty();
      assertThat(planner.plan(snapshot(left, REFUSED, 1, 6_500)).orders()).hasSize(1);
    }

    @Test
    void should_not_wait_for_a_server_that_has_drained() {
      planner.plan(snapshot(List.of(withRare(true), left.get(0)), REFUSED, 0, 0));
      assertThat(planner.plan(snapshot(left, REFUSED, 1, 500)).orders()).hasSize(1);
    }

    private ServerOrderState withRare(boolean draining) {
      ServerOrderState sound = server("s1", Set.of(), Set.of("rare"));
      return new ServerOrderState(
          draining ? sound.entry().asDraining() : sound.entry(), sound.pending(), 0, false);
    }
  }

  /** The servers of a start join within seconds, each with models that the others lack. */
  @Nested
  class ServersThatJoin {
    private final ServerOrderState first = server("s1", Set.of(), Set.of("idle"));
    private final ServerOrderState second = server("s2", Set.of(), Set.of("idle"));

    /** Guards against store loads of models that servers have which join a moment later. */
    @Test
    void should_wait_with_models_that_nobody_requests_while_servers_join() {
      // GIVEN
      planner.plan(unrequested(List.of(), 0));
      // THEN
      assertThat(planner.plan(unrequested(List.of(first), 500)).orders()).isEmpty();
      assertThat(planner.plan(unrequested(List.of(first, second), 1_400)).orders()).isEmpty();
      assertThat(planner.plan(unrequested(List.of(first, second), 2_399)).orders()).isEmpty();
      assertThat(planner.plan(unrequested(List.of(first, second), 2_400)).orders()).hasSize(1);
    }

    @Test
    void should_load_a_requested_model_while_servers_join() {
      planner.plan(unrequested(List.of(), 0));
      assertThat(planner.plan(snapshot(List.of(first), REFUSED, 1, 500)).orders()).hasSize(1);
    }

    /** A node that takes over the lease plans with all servers in its first round. */
    @Test
    void should_not_wait_for_the_servers_of_the_first_round() {
      assertThat(planner.plan(unrequested(List.of(first), 0)).orders()).hasSize(1);
    }

    private ServiceSnapshot unrequested(List<ServerOrderState> servers, long nowMillis) {
      return new ServiceSnapshot(
          engine("idle", "rare"), servers, Map.of(), new StoreCapacity(1, 1, 0), nowMillis);
    }
  }

  @Nested
  class NewTenure {
    @Test
    void should_keep_the_claim_of_a_model_that_was_passed_over() {
      // GIVEN a model that the store could not load
      List<ServerOrderState> servers = List.of(server("s1", Set.of(), Set.of("idle")));
      planner.plan(snapshot(servers, REFUSED, 0, 0));
      // WHEN the same node orders loads again
      planner.reset();
      // THEN
      assertThat(planner.plan(snapshot(servers, REFUSED, 0, 9_000)).deferredLoads())
          .extracting(DeferredLoad::unservedMillis)
          .containsExactly(9_000L);
    }
  }

  private static ServiceSnapshot snapshot(
      List<ServerOrderState> servers, ModelDemand demand, int storeLoads, long nowMillis) {
    return new ServiceSnapshot(
        engine("idle", "rare"),
        servers,
        Map.of(ref("rare"), demand),
        new StoreCapacity(storeLoads, 1, 0),
        nowMillis);
  }

  private static ServerOrderState withConduct(ServerOrderState server, ServerConduct conduct) {
    return new ServerOrderState(
        server.entry(),
        server.pending(),
        server.pendingUntilMillis(),
        server.followUpAllowed(),
        ServerLimits.NONE,
        conduct);
  }
}
