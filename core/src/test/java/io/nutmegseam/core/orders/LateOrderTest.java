package io.nutmegseam.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Orders that get no response are carried out seconds later, if the order count still matches. */
class LateOrderTest {
  private static final long LOAD_MILLIS = 10_200;

  /** When the sender of an order without response ceases to wait for one. */
  private static final long NO_RESPONSE_MILLIS = 700;

  private final OrderTracker tracker = new OrderTracker(inventory(0, false));

  /**
   * Guards against models that are never served, since an order without response was taken for one
   * that is not carried out: the model lost its turn, and the late order shut out the next one.
   */
  @Nested
  class NotCarriedOut {
    @Test
    void should_send_the_same_order_again_with_the_same_count() {
      // GIVEN
      tracker.onSent(load("m", LoadSource.STORE), LOAD_MILLIS, 0);
      tracker.onNoResponse(NO_RESPONSE_MILLIS);
      assertThat(tracker.next(NO_RESPONSE_MILLIS)).isEqualTo(OrderTracker.NextStep.ASK);
      // WHEN
      tracker.onReport(inventory(0, false), NO_RESPONSE_MILLIS);
      // THEN
      assertThat(tracker.next(NO_RESPONSE_MILLIS)).isEqualTo(OrderTracker.NextStep.SEND_AGAIN);
      assertThat(tracker.pending()).contains(load("m", LoadSource.STORE));
      assertThat(tracker.inventory().orderCount()).isZero();
    }

    @Test
    void should_leave_the_server_to_other_orders_after_several_attempts() {
      // GIVEN
      tracker.onSent(load("m", LoadSource.STORE), LOAD_MILLIS, 0);
      long nowMillis = 0;
      // WHEN
      while (nowMillis < 5_000 && tracker.pending().isPresent()) {
        nowMillis += NO_RESPONSE_MILLIS;
        tracker.onNoResponse(nowMillis);
        tracker.onReport(inventory(0, false), nowMillis);
        if (tracker.next(nowMillis) == OrderTracker.NextStep.SEND_AGAIN) {
          tracker.onResent(nowMillis);
        }
      }
      // THEN
      assertThat(nowMillis).isBetween(3 * NO_RESPONSE_MILLIS, 5_000L);
      assertThat(tracker.lateStoreLoadUntilMillis()).isGreaterThan(nowMillis);
    }

    @Test
    void should_ask_a_server_that_sends_no_report_before_the_order_is_sent_again() {
      tracker.onSent(load("m", LoadSource.STORE), LOAD_MILLIS, 0);
      tracker.onNoResponse(NO_RESPONSE_MILLIS);
      tracker.onReportRequested();
      tracker.onNoReport(2 * NO_RESPONSE_MILLIS);
      assertThat(tracker.next(3 * NO_RESPONSE_MILLIS)).isEqualTo(OrderTracker.NextStep.ASK);
    }
  }

  /** Guards against a second load of a model whose server has accepted the first order. */
  @Nested
  class CarriedOut {
    @Test
    void should_follow_an_order_that_the_server_has_accepted_without_response() {
      // GIVEN
      tracker.onSent(load("m", LoadSource.STORE), LOAD_MILLIS, 0);
      tracker.onNoResponse(NO_RESPONSE_MILLIS);
      // WHEN
      tracker.onReport(inventory(1, true), NO_RESPONSE_MILLIS);
      // THEN
      assertThat(tracker.isAccepted()).isTrue();
      assertThat(tracker.pending()).contains(load("m", LoadSource.STORE));
      assertThat(tracker.pendingUntilMillis()).isEqualTo(NO_RESPONSE_MILLIS + LOAD_MILLIS);
    }

    @Test
    void should_follow_an_order_that_was_accepted_before_it_was_sent_again() {
      // GIVEN
      tracker.onSent(load("m", LoadSource.STORE), LOAD_MILLIS, 0);
      tracker.onNoResponse(NO_RESPONSE_MILLIS);
      tracker.onReport(inventory(0, false), NO_RESPONSE_MILLIS);
      tracker.onResent(NO_RESPONSE_MILLIS);
      // WHEN the first sending arrives before the second one
      tracker.onResponse(OrderResponse.CONFLICT, 800);
      tracker.onReport(inventory(1, true), 1_100);
      // THEN
      assertThat(tracker.isAccepted()).isTrue();
      assertThat(tracker.pending()).contains(load("m", LoadSource.STORE));
    }

    /** The count does not tell which of two orders the server carries out. */
    @Test
    void should_not_take_an_earlier_order_for_the_pending_one() {
      // GIVEN an order that was given up, and one for another model
      tracker.onSent(load("m", LoadSource.STORE), LOAD_MILLIS, 0);
      tracker.onNoResponse(NO_RESPONSE_MILLIS);
      tracker.onReport(inventory(0, false), 4_000);
      assertThat(tracker.pending()).isEmpty();
      tracker.onSent(load("n", LoadSource.DISK), 800, 4_100);
      tracker.onNoResponse(4_800);
      // WHEN
      tracker.onReport(inventory(1, true), 4_800);
      // THEN
      assertThat(tracker.isAccepted()).isFalse();
    }

    @Test
    void should_not_take_an_order_of_an_earlier_holder_of_the_lease_for_the_pending_one() {
      // GIVEN
      OrderTracker successor = new OrderTracker(inventory(0, false), 0);
      successor.onSent(load("m", LoadSource.STORE), LOAD_MILLIS, 100);
      successor.onNoResponse(800);
      // WHEN
      successor.onReport(inventory(1, true), 800);
      // THEN
      assertThat(successor.isAccepted()).isFalse();
    }
  }

  /** Guards against a store that stays idle for late orders which servers will refuse. */
  @Nested
  class Outdated {
    @Test
    void should_expect_no_late_load_after_the_server_has_accepted_another_order() {
      // GIVEN
      tracker.onSent(load("m", LoadSource.STORE), LOAD_MILLIS, 0);
      tracker.onNoResponse(NO_RESPONSE_MILLIS);
      tracker.onReport(inventory(0, false), 4_000);
      tracker.onSent(load("n", LoadSource.DISK), 800, 4_100);
      // WHEN
      tracker.onResponse(OrderResponse.ACCEPTED, 4_200);
      // THEN
      assertThat(tracker.lateStoreLoadUntilMillis()).isNegative();
    }
  }

  /** Guards against orders that are none of the weight store's, and count as its loads. */
  @Nested
  class Unanswered {
    @Test
    void should_expect_a_late_load_only_after_an_order_for_one() {
      tracker.onSent(load("m", LoadSource.DISK), 800, 0);
      tracker.onNoResponse(100);
      assertThat(tracker.lateStoreLoadUntilMillis()).isNegative();
    }

    @Test
    void should_expect_a_late_load_from_the_store() {
      tracker.onSent(load("m", LoadSource.STORE), LOAD_MILLIS, 0);
      tracker.onNoResponse(100);
      assertThat(tracker.lateStoreLoadUntilMillis()).isGreaterThan(10_000);
    }
  }

  /** Guards against orders that are over, and count as loads. */
  @Nested
  class NotSent {
    @Test
    void should_end_the_order_at_once_and_ask_the_server_for_a_report() {
      // GIVEN
      tracker.onSent(load("m", LoadSource.STORE), LOAD_MILLIS, 0);
      // WHEN
      tracker.onNotSent(100);
      // THEN
      assertThat(tracker.pending()).isEmpty();
      assertThat(tracker.responds()).isFalse();
      assertThat(tracker.next(1_000)).isEqualTo(OrderTracker.NextStep.ASK);
      tracker.onReport(inventory(0, false), 1_100);
      assertThat(tracker.responds()).isTrue();
    }
  }

  private static ModelOrder load(String model, LoadSource source) {
    return new ModelOrder(
        new Incarnation("s1", 1), ModelOrder.Operation.LOAD, new ModelRef(model, ""), source);
  }

  private static Inventory inventory(long orderCount, boolean busy) {
    return new Inventory(orderCount, busy, Map.of(), Set.of(), Set.of());
  }
}
