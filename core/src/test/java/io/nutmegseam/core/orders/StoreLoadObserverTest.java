package io.nutmegseam.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
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
    limiter.onStarted(LOAD.server().toString(), LOAD_MILLIS, 0);
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

  private void report(Inventory reported, long nowMillis) {
    boolean wasAccepted = tracker.isAccepted();
    tracker.onReport(reported, nowMillis);
    observer.onReport(LOAD, tracker, wasAccepted, nowMillis);
  }

  private static Inventory inventory(long orderCount, boolean busy) {
    return new Inventory(orderCount, busy, Map.of(), Set.of(), Set.of());
  }
}
