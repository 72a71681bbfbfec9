package io.nutmegseam.core.orders;

import static io.nutmegseam.core.orders.FleetFixtures.engine;
import static io.nutmegseam.core.orders.FleetFixtures.rate;
import static io.nutmegseam.core.orders.FleetFixtures.ref;
import static io.nutmegseam.core.orders.FleetFixtures.server;
import static io.nutmegseam.core.orders.FleetFixtures.waiting;
import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.ModelRef;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against models that are never served, since one that the weight store has loaded is
 * evicted before its callers return, who were refused during the load.
 */
class UnusedStoreLoadTest {
  private static final long LOAD_MILLIS = 6_000;
  private static final long REFUSED_REQUESTS = 3;

  private final SwapPlanner planner = new SwapPlanner();
  private final ServerOrderState empty = server("s1", Set.of(), Set.of("other"));
  private final ServerOrderState loaded =
      server("s1", Set.of("rare", "idle1", "idle2"), Set.of("rare", "other"));

  @BeforeEach
  void loadRareModelFromStore() {
    List<ModelOrder> orders = planner.plan(snapshot(empty, REFUSED_REQUESTS, false, 0)).orders();
    assertThat(orders).extracting(ModelOrder::ref).containsExactly(ref("rare"));
    assertThat(orders).extracting(ModelOrder::source).containsExactly(LoadSource.STORE);
    ServerOrderState loading =
        new ServerOrderState(empty.entry(), Optional.of(orders.get(0)), LOAD_MILLIS, false);
    planner.plan(snapshot(loading, REFUSED_REQUESTS, false, 50));
  }

  @Nested
  class Kept {
    @Test
    void should_not_be_evicted_before_it_is_requested() {
      planner.plan(snapshot(loaded, REFUSED_REQUESTS, false, LOAD_MILLIS));
      assertThat(evicted(REFUSED_REQUESTS, LOAD_MILLIS + 50)).isNotEqualTo("rare");
    }

    @Test
    void should_not_be_evicted_in_the_round_that_sees_it_loaded() {
      assertThat(evicted(REFUSED_REQUESTS, LOAD_MILLIS)).isNotEqualTo("rare");
    }
  }

  @Nested
  class Released {
    @Test
    void should_be_evictable_when_it_was_requested() {
      planner.plan(snapshot(loaded, REFUSED_REQUESTS, false, LOAD_MILLIS));
      assertThat(evicted(REFUSED_REQUESTS + 1, LOAD_MILLIS + 50)).isEqualTo("rare");
    }

    @Test
    void should_be_evictable_after_the_time_of_a_load() {
      planner.plan(snapshot(loaded, REFUSED_REQUESTS, false, LOAD_MILLIS));
      assertThat(evicted(REFUSED_REQUESTS, 2 * LOAD_MILLIS)).isEqualTo("rare");
    }
  }

  /** Returns the model that makes room for another one, of which requests wait. */
  private String evicted(long rareRequests, long nowMillis) {
    return planner.plan(snapshot(loaded, rareRequests, true, nowMillis)).orders().stream()
        .filter(order -> order.operation() == ModelOrder.Operation.UNLOAD)
        .map(order -> order.ref().model())
        .findFirst()
        .orElse("");
  }

  private static ServiceSnapshot snapshot(
      ServerOrderState server, long rareRequests, boolean otherWaits, long nowMillis) {
    Map<ModelRef, ModelDemand> demand = new HashMap<>();
    demand.put(ref("rare"), new ModelDemand(0, 0, Long.MAX_VALUE, 0.1, rareRequests));
    demand.put(ref("idle1"), rate(0.5));
    demand.put(ref("idle2"), rate(0.5));
    if (otherWaits) {
      demand.put(ref("other"), waiting(1, nowMillis + 5_000));
    }
    return new ServiceSnapshot(
        engine("rare", "idle1", "idle2", "other"),
        List.of(server),
        demand,
        new StoreCapacity(1, 1, 0),
        nowMillis);
  }
}
