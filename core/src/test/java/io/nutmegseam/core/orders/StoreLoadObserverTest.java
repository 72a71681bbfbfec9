package io.nutmegseam.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.fleet.ServerEntry;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StoreLoadObserverTest {
  private static final long LOAD_MILLIS = 10_200;
  private static final ModelOrder LOAD =
      new ModelOrder(
          new Incarnation("s1", 1),
          ModelOrder.Operation.LOAD,
          new ModelRef("m", ""),
          LoadSource.STORE);

  private final StoreLoadLimiter limiter = new StoreLoadLimiter(4, 5_000);
  private final StoreLoadObserver observer = new StoreLoadObserver(limiter);
  private final OrderTracker tracker = new OrderTracker(inventory(7, true));

  @BeforeEach
  void sendLoad() {
    limiter.onStarted(LOAD.server().toString(), "m", LOAD_MILLIS, 0);
    tracker.onSent(LOAD, LOAD_MILLIS, 0);
  }

  /**
   * Guards against models that are never served, since a place of the weight store counts as taken
   * for the time of a load while no server loads.
   */
  @Nested
  class Refused {
    @Test
    void should_not_count_a_load_that_a_server_refused_since_it_was_busy() {
      // GIVEN
      tracker.onResponse(OrderResponse.CONFLICT, 10);
      // WHEN
      report(inventory(7, true), 300);
      // THEN
      assertThat(tracker.pending()).isEmpty();
      assertThat(limiter.runningLoads(300)).isZero();
    }
  }

  @Nested
  class Unknown {
    @Test
    void should_count_a_load_that_the_server_may_have_begun() {
      // GIVEN an earlier order may have arrived in place of this one
      tracker.onNoResponse(700);
      // WHEN
      report(inventory(9, true), 800);
      // THEN
      assertThat(tracker.pending()).isEmpty();
      assertThat(limiter.runningLoads(800)).isEqualTo(1);
    }

    @Test
    void should_count_a_load_whose_order_was_accepted_without_response() {
      tracker.onNoResponse(700);
      report(inventory(8, true), 800);
      assertThat(limiter.runningLoads(800)).isEqualTo(1);
    }
  }

  /**
   * Guards against requests that are refused while their model is being loaded, since the node that
   * orders loads knows the place of the store that is taken, but not for which model.
   */
  @Nested
  class NewTenure {
    private OrderTracker resumed;

    @BeforeEach
    void endTenure() {
      limiter.onAllUntracked(4_000);
      resumed = observer.reportedTracker(LOAD.server(), inventory(8, true), 4_000, 4_000);
    }

    @Test
    void should_know_the_load_of_a_server_that_has_not_reported() {
      limiter.onAllUntracked(4_000);
      ServerEntry entry = FleetFixtures.entry("s1", inventory(7, false), false);
      assertThat(observer.announcedTracker(entry, 4_000).pending()).contains(LOAD);
    }

    @Test
    void should_continue_with_the_load_of_the_tenure_before() {
      assertThat(resumed.pending()).contains(LOAD);
      assertThat(resumed.pendingUntilMillis()).isEqualTo(LOAD_MILLIS);
      assertThat(limiter.runningLoads(4_000)).isEqualTo(1);
    }

    @Test
    void should_end_the_load_when_its_server_has_loaded_the_model() {
      // WHEN
      Inventory loaded = new Inventory(8, false, Map.of("m", Set.of()), Set.of(), Set.of("m"));
      resumed.onReport(loaded, LOAD_MILLIS);
      observer.onReport(LOAD, resumed, true, LOAD_MILLIS);
      // THEN
      assertThat(resumed.pending()).isEmpty();
      assertThat(limiter.runningLoads(LOAD_MILLIS)).isZero();
    }

    @Test
    void should_give_up_the_load_when_its_server_is_not_busy_with_it() {
      resumed.onReport(inventory(8, false), 4_250);
      observer.onReport(LOAD, resumed, true, 4_250);
      assertThat(resumed.pending()).isEmpty();
      assertThat(limiter.runningLoads(4_250)).isZero();
    }
  }

  private void report(Inventory reported, long nowMillis) {
    boolean wasAccepted = tracker.isAccepted();
    tracker.onReport(reported, nowMillis);
    observer.onReport(LOAD, tracker, wasAccepted, nowMillis);
  }

  private static Inventory inventory(long orderCount, boolean busy) {
    return new Inventory(orderCount, busy, Map.of(), Set.of(), Set.of());
  }
}
