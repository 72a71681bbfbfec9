package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServerLoadsTest {
  private final TestClock clock = new TestClock();
  private final ServerLoads loads = new ServerLoads(clock);

  /** Requests for one model arrive faster than its servers respond. */
  @Nested
  class Overload {
    @Test
    void should_measure_a_queue_by_its_oldest_request() {
      // GIVEN
      loads.onSent("s", "r1");
      clock.advance(300);
      loads.onSent("s", "r2");
      // WHEN
      clock.advance(200);
      // THEN
      assertThat(loads.queueMillis("s")).isEqualTo(500);
    }

    @Test
    void should_report_a_shorter_queue_after_the_oldest_request_gets_a_response() {
      loads.onSent("s", "r1");
      clock.advance(300);
      loads.onSent("s", "r2");
      loads.onSent("s", "r3");
      clock.advance(200);
      loads.onResponseHead("s", "r1");
      assertThat(loads.queueMillis("s")).isEqualTo(200);
    }

    @Test
    void should_not_treat_one_slow_request_as_a_queue() {
      loads.onSent("s", "r1");
      clock.advance(5_000);
      assertThat(loads.queueMillis("s")).isZero();
    }
  }

  @Nested
  class FailingServer {
    @Test
    void should_avoid_a_server_temporarily_after_consecutive_failures() {
      // GIVEN
      for (int i = 0; i < 3; i++) {
        loads.onFailed("s");
      }
      // WHEN
      boolean avoided = loads.isAvoided("s");
      clock.advance(6_000);
      // THEN
      assertThat(avoided).isTrue();
      assertThat(loads.isAvoided("s")).isFalse();
    }
  }
}
