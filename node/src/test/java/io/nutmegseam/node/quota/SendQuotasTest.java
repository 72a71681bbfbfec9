package io.nutmegseam.node.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.quota.ServerLimits;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Limits of servers over many nodes, in simulated time. */
class SendQuotasTest {
  private static final double PER_SECOND = 2;

  /** What a server may get in 4 s: one and a half times its limit, and 5 requests. */
  private static final long MAX_WITHIN_WINDOW = (long) (1.5 * 4 * PER_SECOND) + 5;

  /** Time within which all nodes must know a limit that one of them has been told. */
  private static final long SHARE_MILLIS = 500;

  @Nested
  class NineNodes {
    @Test
    void should_grant_what_the_limit_allows_and_no_more() {
      // GIVEN
      QuotaNetwork network = threeDataCentres();
      network.nodes().forEach(node -> network.setDemand(node, 5, false));
      network.start();
      network.setLimits(new ServerLimits(PER_SECOND));
      network.advance(1_000);
      // WHEN
      network.advance(20_000);
      // THEN
      assertThat(network.arrivals().mostWithinWindow(0)).isLessThanOrEqualTo(MAX_WITHIN_WINDOW);
      assertThat(network.arrivals().countSince(1_000))
          .isGreaterThan((long) (20 * 0.8 * PER_SECOND));
    }

    @Test
    void should_grant_all_to_the_only_node_with_requests() {
      // GIVEN
      QuotaNetwork network = threeDataCentres();
      network.setDemand("b-1", 1.5, false);
      network.start();
      network.setLimits(new ServerLimits(3));
      network.advance(1_000);
      // WHEN
      network.advance(20_000);
      // THEN
      assertThat(network.denied("b-1")).isLessThanOrEqualTo(2);
      assertThat(network.sent("b-1")).isGreaterThan(20);
    }

    @Test
    void should_keep_a_part_for_requests_that_no_other_server_can_serve() {
      // GIVEN
      QuotaNetwork network = threeDataCentres();
      network.nodes().forEach(node -> network.setDemand(node, 10, true));
      network.setDemand("c-0", 0.5, false);
      network.start();
      network.setLimits(new ServerLimits(PER_SECOND));
      network.advance(2_000);
      int deniedBefore = network.denied("c-0");
      // WHEN
      network.advance(20_000);
      // THEN
      assertThat(network.denied("c-0") - deniedBefore).isLessThanOrEqualTo(1);
      assertThat(network.arrivals().mostWithinWindow(0)).isLessThanOrEqualTo(MAX_WITHIN_WINDOW);
    }

    @Test
    void should_notice_the_end_of_a_limit() {
      // GIVEN
      QuotaNetwork network = threeDataCentres();
      network.nodes().forEach(node -> network.setDemand(node, 5, true));
      network.start();
      network.setLimits(new ServerLimits(PER_SECOND));
      network.advance(5_000);
      assertThat(network.informedCount()).isEqualTo(9);
      // WHEN
      network.setLimits(ServerLimits.NONE);
      network.advance(2_500);
      // THEN
      assertThat(network.informedCount()).isZero();
    }

    @Test
    void should_notice_the_end_of_a_limit_of_no_requests_at_all() {
      // GIVEN
      QuotaNetwork network = threeDataCentres();
      network.nodes().forEach(node -> network.setDemand(node, 5, false));
      network.start();
      network.setLimits(new ServerLimits(0));
      network.advance(8_000);
      assertThat(network.arrivals().mostWithinWindow(0)).isLessThanOrEqualTo(5);
      // WHEN
      network.setLimits(ServerLimits.NONE);
      network.advance(12_000);
      // THEN
      assertThat(network.informedCount()).isZero();
    }

    private QuotaNetwork threeDataCentres() {
      QuotaNetwork network = new QuotaNetwork(1, "b");
      network.addNodes("a", 3);
      network.addNodes("b", 3);
      network.addNodes("c", 3);
      return network;
    }
  }

  @Nested
  class Faults {
    @Test
    void should_keep_the_limit_when_the_granting_node_is_killed_or_silent() {
      // GIVEN
      QuotaNetwork network = limited();
      String granting = network.grantingNode();
      // WHEN
      network.setFrozen(granting, true);
      network.advance(4_000);
      network.setFrozen(granting, false);
      network.advance(4_000);
      network.kill(granting);
      network.advance(6_000);
      long afterKillMillis = network.nowMillis() - 6_000;
      // THEN
      assertThat(network.arrivals().mostWithinWindow(0)).isLessThanOrEqualTo(MAX_WITHIN_WINDOW);
      assertThat(network.arrivals().countSince(afterKillMillis)).isGreaterThanOrEqualTo(8);
    }

    @Test
    void should_keep_the_limit_when_data_centres_are_cut_off() {
      // GIVEN
      QuotaNetwork network = limited();
      // WHEN
      network.setCut("b", true);
      network.advance(6_000);
      network.setCut("b", false);
      network.advance(1_000);
      network.setCut("c", true);
      network.advance(6_000);
      network.setCut("c", false);
      network.advance(4_000);
      // THEN
      assertThat(network.arrivals().mostWithinWindow(0)).isLessThanOrEqualTo(MAX_WITHIN_WINDOW);
    }

    @Test
    void should_tell_the_limit_to_a_node_that_has_started() {
      // GIVEN
      QuotaNetwork network = limited();
      long informed = network.informedCount();
      // WHEN
      network.restart("a-1");
      assertThat(network.informedCount()).isEqualTo(informed - 1);
      network.advance(SHARE_MILLIS);
      // THEN
      assertThat(network.informedCount()).isEqualTo(informed);
      assertThat(network.arrivals().mostWithinWindow(0)).isLessThanOrEqualTo(MAX_WITHIN_WINDOW);
    }

    private QuotaNetwork limited() {
      QuotaNetwork network = new QuotaNetwork(2, "b");
      network.addNodes("a", 4);
      network.addNodes("b", 4);
      network.addNodes("c", 4);
      network.nodes().forEach(node -> network.setDemand(node, 4, false));
      network.start();
      network.setLimits(new ServerLimits(PER_SECOND));
      network.advance(4_000);
      return network;
    }
  }

  /** Servers that fall over when they have to reject too many requests within a second. */
  @Nested
  class BrittleServer {
    private static final int MAX_REJECTIONS_PER_SECOND = 4;
    private static final long RUN_MILLIS = 100;

    /** What 8 slots serve in a second, of which a tenth is left free. */
    private static final double SERVED_PER_SECOND = 0.9 * 8 * 1_000 / RUN_MILLIS;

    @Test
    void should_use_its_slots_without_rejections_under_overload_from_all_nodes() {
      // GIVEN
      QuotaNetwork network = brittle(20);
      // WHEN
      network.advance(10_000);
      // THEN
      assertThat(network.arrivals().mostRejectedWithinSecond(1_000)).isZero();
      assertThat(network.arrivals().countSince(1_000))
          .isGreaterThan((long) (5 * SERVED_PER_SECOND));
    }

    @Test
    void should_not_deny_requests_that_it_has_room_for() {
      // GIVEN
      QuotaNetwork network = brittle(2);
      // WHEN
      network.advance(10_000);
      // THEN
      assertThat(network.nodes()).allSatisfy(node -> assertThat(network.denied(node)).isZero());
    }

    // Guards against room that stays taken by requests which were told to wait, or refused.
    @ParameterizedTest
    @CsvSource({"7, 2", "2, 7", "9, 2", "6, 3", "3, 6"})
    void should_serve_bursts_that_find_room_after_one_that_did_not(int nodes, int requestsPerNode) {
      // GIVEN
      QuotaNetwork network = brittle(2);
      network.nodes().forEach(node -> network.setDemand(node, 0, false));
      network.advance(1_000);
      network.nodes().forEach(node -> network.request(node, 4));
      network.advance(600);
      int refused = denied(network);
      // WHEN
      for (int burst = 0; burst < 8; burst++) {
        network.nodes().subList(0, nodes).forEach(node -> network.request(node, requestsPerNode));
        network.advance(600);
      }
      // THEN
      assertThat(refused).isPositive();
      assertThat(denied(network)).isEqualTo(refused);
      assertThat(network.arrivals().mostRejectedWithinSecond(1_000)).isZero();
    }

    private int denied(QuotaNetwork network) {
      return network.nodes().stream().mapToInt(network::denied).sum();
    }

    @Test
    void should_not_make_it_fall_over_when_nodes_are_killed_frozen_and_restarted() {
      // GIVEN
      QuotaNetwork network = brittle(12);
      // WHEN
      String granting = network.grantingNode();
      network.setFrozen(granting, true);
      network.advance(3_000);
      network.setFrozen(granting, false);
      network.advance(3_000);
      network.restart(granting);
      network.advance(3_000);
      network.kill(granting);
      network.advance(6_000);
      long afterKillMillis = network.nowMillis() - 3_000;
      // THEN
      assertThat(network.arrivals().mostRejectedWithinSecond(1_000))
          .isLessThanOrEqualTo(MAX_REJECTIONS_PER_SECOND);
      assertThat(network.arrivals().countSince(afterKillMillis))
          .isGreaterThan((long) (1.5 * SERVED_PER_SECOND));
    }

    private QuotaNetwork brittle(double requestsPerSecondAndNode) {
      QuotaNetwork network = new QuotaNetwork(4, "b");
      network.addNodes("a", 3);
      network.addNodes("b", 3);
      network.addNodes("c", 3);
      network.nodes().forEach(node -> network.setDemand(node, requestsPerSecondAndNode, false));
      network.restrictRoom(RUN_MILLIS);
      network.setLimits(new ServerLimits(Double.POSITIVE_INFINITY, MAX_REJECTIONS_PER_SECOND));
      network.start();
      network.advance(1_000);
      return network;
    }
  }

  /** The size of the target: 360 nodes in 18 data centres. */
  @Nested
  class Target {
    /** Control traffic of a node, in bytes per second. */
    private static final long MAX_BYTES_PER_SECOND = 13_000;

    @Test
    void should_tell_all_nodes_in_time() {
      // GIVEN
      QuotaNetwork network = target();
      network.setDemand("dc3-4", 1, true);
      network.start();
      network.setLimits(new ServerLimits(PER_SECOND));
      while (network.informedCount() == 0) {
        network.advance(1);
      }
      // WHEN
      network.advance(SHARE_MILLIS);
      // THEN
      assertThat(network.informedCount()).isEqualTo(360);
      System.out.printf(
          "limits: a limit told to 360 nodes, %d frames, %d bytes%n",
          network.frames(), network.bytes());
      assertThat(network.bytes()).isLessThan(360 * MAX_BYTES_PER_SECOND);
    }

    @Test
    void should_keep_the_limit_and_bound_the_asks() {
      // GIVEN
      QuotaNetwork network = target();
      network.nodes().forEach(node -> network.setDemand(node, 2, true));
      network.start();
      network.setLimits(new ServerLimits(PER_SECOND));
      network.advance(5_000);
      long bytesBefore = network.bytes();
      // WHEN
      network.advance(10_000);
      // THEN
      long bytesPerSecond = (network.bytes() - bytesBefore) / 10;
      System.out.printf("limits: asks of 360 nodes, %d bytes per second%n", bytesPerSecond);
      assertThat(network.arrivals().mostWithinWindow(0)).isLessThanOrEqualTo(MAX_WITHIN_WINDOW);
      assertThat(bytesPerSecond).isLessThan(MAX_BYTES_PER_SECOND);
    }

    private QuotaNetwork target() {
      QuotaNetwork network = new QuotaNetwork(3, "dc7");
      for (int i = 0; i < 18; i++) {
        network.addNodes("dc" + i, 20);
      }
      return network;
    }
  }
}
