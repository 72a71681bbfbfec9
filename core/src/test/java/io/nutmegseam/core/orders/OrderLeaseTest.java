package io.nutmegseam.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OrderLeaseTest {
  private static final OrderLease.Timing TIMING = new OrderLease.Timing(5_000, 1_000, 1_000, 3_300);
  private static final OrderLease.Claimant SELF =
      new OrderLease.Claimant("me", "node-me", "10.0.0.1:7000");

  @Nested
  class Acquisition {
    @Test
    void should_not_acquire_a_lease_before_its_row_was_read() {
      assertThat(OrderLease.unread(SELF, TIMING).next(60_000)).isEqualTo(OrderLease.Step.WAIT);
    }

    @Test
    void should_acquire_a_lease_without_a_previous_holder_and_allow_orders_immediately() {
      // GIVEN
      OrderLease read = OrderLease.unread(SELF, TIMING).observe(OrderLeaseRow.ABSENT, 0);
      // WHEN
      OrderLease held = read.afterWrite(row(7, "me", false), 10, 20);
      // THEN
      assertThat(read.next(0)).isEqualTo(OrderLease.Step.ACQUIRE);
      assertThat(held.maySendOrders(20)).isTrue();
      assertThat(held.tenure().orElseThrow().fence()).isEqualTo(7);
    }

    @Test
    void should_acquire_a_lease_only_after_its_row_was_unchanged_for_the_lease_time() {
      // GIVEN
      OrderLease read = OrderLease.unread(SELF, TIMING).observe(row(3, "other", false), 100);
      // WHEN
      OrderLease renewed = read.observe(row(4, "other", false), 3_000);
      // THEN
      assertThat(read.next(5_099)).isEqualTo(OrderLease.Step.WAIT);
      assertThat(read.next(5_100)).isEqualTo(OrderLease.Step.ACQUIRE);
      assertThat(renewed.next(7_999)).isEqualTo(OrderLease.Step.WAIT);
    }

    @Test
    void should_reacquire_its_own_lease_after_a_lost_write_response() {
      OrderLease read = OrderLease.unread(SELF, TIMING).observe(row(3, "me", false), 0);
      assertThat(read.next(0)).isEqualTo(OrderLease.Step.ACQUIRE);
    }
  }

  /** The lease holder is killed and restarts on its VM; orders must not wait for the old lease. */
  @Nested
  class RestartedHolder {
    private final OrderLeaseRow before =
        new OrderLeaseRow(3, "me-before", SELF.node(), SELF.peerAddress(), false, 0, false);

    @Test
    void should_acquire_the_lease_of_the_previous_process_immediately() {
      OrderLease read = OrderLease.unread(SELF, TIMING).observe(before, 0);
      assertThat(read.next(0)).isEqualTo(OrderLease.Step.ACQUIRE);
    }

    @Test
    void should_allow_orders_immediately_since_both_processes_run_on_the_same_vm() {
      OrderLease held =
          OrderLease.unread(SELF, TIMING).observe(before, 0).afterWrite(row(4, "me", false), 0, 5);
      assertThat(held.maySendOrders(5)).isTrue();
    }

    @Test
    void should_wait_for_the_lease_of_a_node_with_the_same_name_at_another_address() {
      OrderLeaseRow replaced =
          new OrderLeaseRow(3, "me-before", SELF.node(), "10.0.0.9:1", false, 0, false);
      OrderLease read = OrderLease.unread(SELF, TIMING).observe(replaced, 0);
      assertThat(read.next(0)).isEqualTo(OrderLease.Step.WAIT);
    }
  }

  @Nested
  class OrderWindow {
    @Test
    void should_keep_the_handover_gap_between_orders_of_two_holders_after_a_lapse() {
      // GIVEN a holder whose last renewal was observed at 0 and that may send orders until 4,000
      OrderLease read = OrderLease.unread(SELF, TIMING).observe(row(3, "other", false), 0);
      // WHEN
      OrderLease held = read.afterWrite(row(4, "me", false), 5_000, 5_010);
      // THEN
      long lastOrderOfOtherMillis = 4_000;
      long firstMillis = held.tenure().orElseThrow().ordersFromMillis();
      assertThat(firstMillis - lastOrderOfOtherMillis).isGreaterThanOrEqualTo(3_300);
      assertThat(held.maySendOrders(firstMillis - 1)).isFalse();
    }

    @Test
    void should_keep_the_full_handover_gap_after_the_release_was_observed() {
      // GIVEN a holder that sent its last order before it released the lease
      long releaseSeenMillis = 50;
      OrderLease read =
          OrderLease.unread(SELF, TIMING).observe(row(3, "other", true), releaseSeenMillis);
      // WHEN
      OrderLease early = read.afterWrite(row(4, "me", false), 100, 110);
      OrderLease late = read.afterWrite(row(4, "me", false), 9_000, 9_010);
      // THEN
      assertThat(early.maySendOrders(releaseSeenMillis + TIMING.handoverGapMillis() - 1)).isFalse();
      assertThat(early.maySendOrders(releaseSeenMillis + TIMING.handoverGapMillis())).isTrue();
      assertThat(late.maySendOrders(9_010)).isTrue();
    }

    @Test
    void should_disallow_orders_before_the_lease_expires() {
      OrderLease held =
          OrderLease.unread(SELF, TIMING)
              .observe(OrderLeaseRow.ABSENT, 0)
              .afterWrite(row(1, "me", false), 0, 5);
      assertThat(held.maySendOrders(3_999)).isTrue();
      assertThat(held.maySendOrders(4_000)).isFalse();
    }

    @Test
    void should_keep_the_fence_across_renewals() {
      OrderLease held =
          OrderLease.unread(SELF, TIMING)
              .observe(OrderLeaseRow.ABSENT, 0)
              .afterWrite(row(1, "me", false), 0, 5)
              .afterWrite(row(9, "me", false), 1_000, 1_005);
      assertThat(held.tenure().orElseThrow().fence()).isEqualTo(1);
      assertThat(held.maySendOrders(4_500)).isTrue();
    }

    @Test
    void should_lose_the_tenure_when_another_process_holds_the_row() {
      OrderLease held =
          OrderLease.unread(SELF, TIMING)
              .observe(OrderLeaseRow.ABSENT, 0)
              .afterWrite(row(1, "me", false), 0, 5)
              .observe(row(2, "other", false), 50);
      assertThat(held.maySendOrders(60)).isFalse();
    }
  }

  /**
   * A node acquires the lease that another one has just released, but the response is lost or the
   * process is replaced, so the row names this VM before the gap after the other node's orders has
   * passed. Two nodes would send orders in turns.
   */
  @Nested
  class InterruptedHandover {
    private static final long RELEASE_SEEN_MILLIS = 0;
    private static final long WRITTEN_MILLIS = 2_000;
    private static final long HANDOVER_MILLIS = TIMING.handoverGapMillis() - WRITTEN_MILLIS;

    private final OrderLease released =
        OrderLease.unread(SELF, TIMING).observe(row(3, "other", true), RELEASE_SEEN_MILLIS);

    @Test
    void should_keep_the_handover_gap_after_a_lost_write_response() {
      // GIVEN a write without response, which the next read shows
      OrderLease read = released.observe(interrupted("me"), 2_800);
      // WHEN
      OrderLease held = read.afterWrite(interrupted("me"), 2_850, 2_860);
      // THEN
      assertThat(held.tenure().orElseThrow().ordersFromMillis() - RELEASE_SEEN_MILLIS)
          .isGreaterThanOrEqualTo(TIMING.handoverGapMillis());
    }

    @Test
    void should_keep_the_handover_gap_in_the_next_process_of_the_vm() {
      OrderLease read = OrderLease.unread(SELF, TIMING).observe(interrupted("me-before"), 2_500);
      OrderLease held = read.afterWrite(interrupted("me"), 2_550, 2_560);
      assertThat(held.tenure().orElseThrow().ordersFromMillis() - RELEASE_SEEN_MILLIS)
          .isGreaterThanOrEqualTo(TIMING.handoverGapMillis());
    }

    @Test
    void should_state_in_the_row_when_the_handover_is_complete() {
      assertThat(released.handoverMillis(WRITTEN_MILLIS)).isEqualTo(HANDOVER_MILLIS);
      assertThat(released.handoverMillis(RELEASE_SEEN_MILLIS + 3_300)).isZero();
    }

    private OrderLeaseRow interrupted(String process) {
      return new OrderLeaseRow(
          4, process, SELF.node(), SELF.peerAddress(), false, HANDOVER_MILLIS, false);
    }
  }

  private static OrderLeaseRow row(long version, String holder, boolean released) {
    return new OrderLeaseRow(
        version, holder, "node-of-" + holder, "127.0.0.1:1", released, 0, false);
  }
}
