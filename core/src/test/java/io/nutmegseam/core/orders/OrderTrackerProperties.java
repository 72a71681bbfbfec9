package io.nutmegseam.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.gateway.EngineSpec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Pattern: answers of orders are lost and orders are carried out seconds late, while demand moves
 * over more models than fit.
 */
class OrderTrackerProperties {
  private static final EngineSpec ENGINE = FleetFixtures.engine("a", "b", "c", "d", "e", "f");
  private static final List<String> MODELS = List.copyOf(ENGINE.models().keySet());
  private static final long TICK_MILLIS = 50;
  private static final long RUN_MILLIS = 60_000;

  @Property(tries = 300, seed = "4711", shrinking = ShrinkingMode.BOUNDED)
  void should_never_overcommit_a_server(@ForAll long seed) {
    Run run = new Run(seed, 0.2);
    run.play();
    assertThat(run.server.isOvercommitted()).isFalse();
  }

  @Property(tries = 100, seed = "4711", shrinking = ShrinkingMode.BOUNDED)
  void should_match_the_inventory_of_the_server_once_orders_have_settled(@ForAll long seed) {
    // GIVEN
    Run run = new Run(seed, 0.2);
    run.play();
    // WHEN
    run.settle();
    // THEN
    assertThat(run.tracker.pending()).isEmpty();
    assertThat(run.tracker.inventory().adaptersByModel())
        .isEqualTo(run.server.current().adaptersByModel());
  }

  @Nested
  class WithoutLostResponses {
    @Test
    void should_load_a_requested_model_within_the_time_of_one_unload_and_one_load() {
      // GIVEN a server that is full of models nobody asks for
      Run run = new Run(1, 0);
      run.demand.put(new ModelRef("a", ""), FleetFixtures.waiting(1, 60_000));
      run.advanceTo(8_000);
      run.demand.clear();
      run.demand.put(new ModelRef("b", ""), FleetFixtures.waiting(1, 60_000));
      run.advanceTo(16_000);
      run.demand.clear();
      // WHEN
      run.demand.put(new ModelRef("a", ""), FleetFixtures.waiting(1, 60_000));
      run.advanceTo(18_500);
      // THEN
      assertThat(run.server.current().adaptersByModel()).containsKey("a");
    }
  }

  /** One server, its tracker and the planner, under moving demand. */
  private static final class Run {
    private final Random random;
    private final double lossShare;
    private final SimulatedServer server = new SimulatedServer(ENGINE);
    private final OrderTracker tracker = new OrderTracker(server.current());
    private final SwapPlanner planner = new SwapPlanner();
    private final Map<ModelRef, ModelDemand> demand = new HashMap<>();
    private long nowMillis;

    private Run(long seed, double lossShare) {
      this.random = new Random(seed);
      this.lossShare = lossShare;
    }

    private void play() {
      while (nowMillis < RUN_MILLIS) {
        if (random.nextInt(10) == 0) {
          demand.clear();
          String model = MODELS.get(random.nextInt(MODELS.size()));
          String adapter = random.nextInt(3) == 0 ? "a" + random.nextInt(20) : "";
          demand.put(new ModelRef(model, adapter), FleetFixtures.waiting(1, nowMillis + 5_000));
        }
        advanceTo(nowMillis + TICK_MILLIS);
      }
    }

    private void settle() {
      demand.clear();
      MODELS.forEach(model -> demand.put(FleetFixtures.ref(model), FleetFixtures.rate(1)));
      long untilMillis = nowMillis + 20_000;
      while (nowMillis < untilMillis) {
        nowMillis += TICK_MILLIS;
        server.advance(nowMillis);
        step();
      }
    }

    private void advanceTo(long untilMillis) {
      while (nowMillis < untilMillis) {
        nowMillis += TICK_MILLIS;
        server.advance(nowMillis);
        step();
        plan();
      }
    }

    private void step() {
      switch (tracker.next(nowMillis)) {
        case WAIT -> {}
        case SEND_AGAIN -> {
          ModelOrder order = tracker.pending().orElseThrow();
          tracker.onResent(nowMillis);
          transmit(order);
        }
        case ASK -> {
          tracker.onReportRequested();
          tracker.onReport(server.report(nowMillis), nowMillis);
        }
        default -> throw new IllegalStateException();
      }
    }

    private void plan() {
      ServerOrderState work =
          new ServerOrderState(
              FleetFixtures.entry("s", tracker.inventory(), false),
              tracker.pending(),
              tracker.pendingUntilMillis(),
              tracker.isFollowUpAllowed());
      ServiceSnapshot view =
          new ServiceSnapshot(ENGINE, List.of(work), demand, new StoreCapacity(1, 1), nowMillis);
      for (ModelOrder order : planner.plan(view).orders()) {
        tracker.onSent(order, 500, nowMillis);
        transmit(order);
      }
    }

    private void transmit(ModelOrder order) {
      long count = tracker.inventory().orderCount();
      if (random.nextDouble() < lossShare) {
        server.deliverDelayed(order, count, nowMillis + 2_000 + random.nextInt(10_000));
        tracker.onNoResponse(nowMillis);
      } else {
        tracker.onResponse(server.accept(order, count, nowMillis, 300), nowMillis);
      }
    }
  }
}
