package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.orders.DeferredLoad;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DeferredLoadLogTest {
  private static final DeferredLoad NO_COPY =
      new DeferredLoad("rare", DeferredLoad.Reason.NO_COPY, 100, 1, 0);
  private static final DeferredLoad RESERVED =
      new DeferredLoad("rare", DeferredLoad.Reason.COPIES_RESERVED, 200, 1, 2);

  private final TestClock clock = new TestClock();
  private final List<String> lines = new ArrayList<>();
  private final DeferredLoadLog log =
      new DeferredLoadLog(clock, (kind, subject, detail) -> lines.add(subject + " " + detail));

  @Nested
  class Volume {
    @Test
    void should_write_one_line_while_the_reason_lasts() {
      // GIVEN
      log.onRound(List.of(NO_COPY), 0);
      // WHEN
      clock.advance(4_900);
      log.onRound(List.of(NO_COPY), 0);
      // THEN
      assertThat(lines).hasSize(1);
    }

    @Test
    void should_repeat_the_line_after_an_interval() {
      log.onRound(List.of(NO_COPY), 0);
      clock.advance(5_000);
      log.onRound(List.of(NO_COPY), 0);
      assertThat(lines).hasSize(2);
    }

    @Test
    void should_write_at_most_one_line_per_second_for_a_model() {
      // WHEN the reason changes in each round, and rounds without a deferral come between
      for (int round = 0; round < 60; round++) {
        log.onRound(List.of(round % 2 == 0 ? NO_COPY : RESERVED), 0);
        log.onRound(List.of(), 0);
        clock.advance(50);
      }
      // THEN
      assertThat(lines).hasSizeLessThanOrEqualTo(3);
    }

    @Test
    void should_write_a_line_when_the_reason_changes() {
      log.onRound(List.of(NO_COPY), 0);
      clock.advance(1_000);
      log.onRound(List.of(RESERVED), 1);
      assertThat(lines)
          .containsExactly(
              "rare NO_COPY, unserved for 100 ms, 1 requests wait, 0 servers have a copy,"
                  + " 0 store loads allowed",
              "rare COPIES_RESERVED, unserved for 200 ms, 1 requests wait, 2 servers have a copy,"
                  + " 1 store loads allowed");
    }
  }
}
