package io.nutmegseam.core.orders;

import static io.nutmegseam.core.orders.FleetFixtures.engine;
import static io.nutmegseam.core.orders.FleetFixtures.rate;
import static io.nutmegseam.core.orders.FleetFixtures.ref;
import static io.nutmegseam.core.orders.FleetFixtures.server;
import static io.nutmegseam.core.orders.FleetFixtures.waiting;
import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.ModelRef;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Requests for a model without copy are refused at once, so none waits when the weight store can
 * serve a load, and the loads go to models that are served already or are not requested.
 */
class RefusedModelLoadTest {
  private final SwapPlanner planner = new SwapPlanner();

  private static final ModelDemand REFUSED = new ModelDemand(0, 0, Long.MAX_VALUE, 0.2, 3);

  private final List<ServerOrderState> servers =
      List.of(
          server("s1", Set.of("busy"), Set.of("busy")),
          server("s2", Set.of(), Set.of()),
          server("s3", Set.of(), Set.of()));

  @Nested
  class Order {
    @Test
    void should_load_a_refused_model_before_a_model_without_requests() {
      ServiceSnapshot snapshot =
          new ServiceSnapshot(
              engine("idle", "rare"),
              servers,
              Map.of(ref("rare"), REFUSED),
              new StoreCapacity(1, 1, 0),
              0);
      assertThat(planner.plan(snapshot).orders())
          .extracting(ModelOrder::ref)
          .containsExactly(ref("rare"));
    }

    @Test
    void should_load_a_refused_model_before_a_spare_replica_of_a_high_demand_model() {
      ServiceSnapshot snapshot =
          new ServiceSnapshot(
              engine("busy", "rare"),
              servers,
              Map.of(ref("busy"), rate(6), ref("rare"), REFUSED),
              new StoreCapacity(1, 1, 0),
              0);
      assertThat(planner.plan(snapshot).orders())
          .extracting(ModelOrder::ref)
          .containsExactly(ref("rare"));
    }

    @Test
    void should_load_a_spare_replica_if_all_requested_models_have_a_copy() {
      ServiceSnapshot snapshot =
          new ServiceSnapshot(
              engine("busy"), servers, Map.of(ref("busy"), rate(6)), new StoreCapacity(1, 1, 0), 0);
      assertThat(planner.plan(snapshot).orders())
          .extracting(ModelOrder::ref)
          .containsExactly(ref("busy"));
    }
  }

  /** Overloaded models need further replicas for as long as their demand lasts. */
  @Nested
  class OverloadedModels {
    private final Map<ModelRef, ModelDemand> demand =
        Map.of(ref("busy"), rate(60), ref("other"), rate(50), ref("rare"), REFUSED);

    private final List<ServerOrderState> overloadedServers =
        List.of(
            server("s1", Set.of("busy"), Set.of("busy")),
            server("s2", Set.of("other"), Set.of("other")),
            server("s3", Set.of(), Set.of()),
            server("s4", Set.of(), Set.of()));

    @Test
    void should_share_the_store_with_refused_models() {
      // GIVEN two store loads, and two overloaded models that need one each
      ServiceSnapshot snapshot = snapshot(overloadedServers, 2, 0);
      // WHEN
      List<ModelOrder> orders = planner.plan(snapshot).orders();
      // THEN
      assertThat(orders)
          .extracting(ModelOrder::ref)
          .containsExactlyInAnyOrder(ref("busy"), ref("rare"));
    }

    @Test
    void should_take_turns_with_refused_models_if_the_store_serves_one_load() {
      // GIVEN the first load is for an overloaded model
      assertThat(planner.plan(snapshot(overloadedServers, 1, 0)).orders())
          .extracting(ModelOrder::ref)
          .containsExactly(ref("busy"));
      // WHEN the load has ended and the model needs yet another replica
      List<ServerOrderState> loaded =
          List.of(
              server("s1", Set.of("busy"), Set.of("busy")),
              server("s2", Set.of("other"), Set.of("other")),
              server("s3", Set.of("busy"), Set.of("busy")),
              server("s4", Set.of(), Set.of()));
      // THEN
      assertThat(planner.plan(snapshot(loaded, 1, 7_000)).orders())
          .extracting(ModelOrder::ref)
          .containsExactly(ref("rare"));
    }

    /** Guards against a second replica from the store while models have none all day. */
    @Test
    void should_load_a_model_that_has_been_unserved_for_long_before_a_further_replica() {
      // GIVEN a model that the store could not load for the time of a load
      planner.plan(snapshot(overloadedServers, 0, 0));
      // THEN
      assertThat(planner.plan(snapshot(overloadedServers, 1, 6_001)).orders())
          .extracting(ModelOrder::ref)
          .containsExactly(ref("rare"));
    }

    private ServiceSnapshot snapshot(List<ServerOrderState> state, int storeLoads, long nowMillis) {
      return new ServiceSnapshot(
          engine("busy", "other", "rare"),
          state,
          demand,
          new StoreCapacity(storeLoads, Math.max(1, storeLoads), 0),
          nowMillis);
    }
  }

  @Nested
  class ReservedLoad {
    @Test
    void should_use_the_reserved_store_load_after_the_time_of_a_load() {
      // GIVEN the only store load is reserved for high-demand models
      StoreCapacity reserved = new StoreCapacity(1, 2, 0);
      Map<ModelRef, ModelDemand> demand = Map.of(ref("rare"), REFUSED);
      ServiceSnapshot first =
          new ServiceSnapshot(engine("busy", "rare"), servers, demand, reserved, 0);
      assertThat(planner.plan(first).orders()).isEmpty();
      // WHEN
      ServiceSnapshot later =
          new ServiceSnapshot(engine("busy", "rare"), servers, demand, reserved, 6_001);
      // THEN
      assertThat(planner.plan(later).orders())
          .extracting(ModelOrder::ref)
          .containsExactly(ref("rare"));
    }

    /** Guards against a place that stays empty for the time of a load while models have no copy. */
    @Test
    void should_use_the_reserved_store_load_when_a_busy_store_would_have_ended_one() {
      // GIVEN two places, of which a store in use frees one every 3 s
      StoreCapacity reserved = new StoreCapacity(1, 2, 0);
      Map<ModelRef, ModelDemand> demand = Map.of(ref("rare"), REFUSED);
      planner.plan(new ServiceSnapshot(engine("busy", "rare"), servers, demand, reserved, 0));
      // WHEN
      ServiceSnapshot later =
          new ServiceSnapshot(engine("busy", "rare"), servers, demand, reserved, 3_001);
      // THEN
      assertThat(planner.plan(later).orders())
          .extracting(ModelOrder::ref)
          .containsExactly(ref("rare"));
    }
  }

  @Nested
  class ExpectedTime {
    @Test
    void should_expect_the_loads_of_waiting_models_one_after_the_other() {
      // GIVEN no free store load, and the model with more requests first
      ServiceSnapshot snapshot =
          new ServiceSnapshot(
              engine("idle", "rare"),
              servers,
              Map.of(ref("idle"), waiting(1, 9_000), ref("rare"), waiting(2, 9_000)),
              new StoreCapacity(0, 1, 0),
              0);
      // WHEN
      Map<ModelRef, Long> expected = planner.plan(snapshot).readyAtMillisByModel();
      // THEN
      assertThat(expected).containsEntry(ref("rare"), 6_000L).containsEntry(ref("idle"), 12_000L);
    }

    /** Guards against callers who wait for a load that begins behind loads of lost servers. */
    @Test
    void should_expect_a_load_to_begin_when_the_store_is_done_with_loads_of_lost_servers() {
      // GIVEN no order in flight, and a store that is busy until 5,000 ms
      ServiceSnapshot snapshot =
          new ServiceSnapshot(
              engine("rare"),
              servers,
              Map.of(ref("rare"), waiting(1, 20_000)),
              new StoreCapacity(0, 1, 5_000),
              0);
      // WHEN
      Map<ModelRef, Long> expected = planner.plan(snapshot).readyAtMillisByModel();
      // THEN
      assertThat(expected).containsEntry(ref("rare"), 11_000L);
    }
  }
}
