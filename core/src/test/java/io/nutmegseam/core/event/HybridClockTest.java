package io.nutmegseam.core.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.Arrays;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.threeten.extra.MutableClock;

class HybridClockTest {
  private final MutableClock wall = MutableClock.of(Instant.ofEpochMilli(1_000), ZoneOffset.UTC);
  private final HybridClock clock = new HybridClock(wall);

  @Nested
  class Ordering {
    @Test
    void should_order_local_events_while_the_wall_clock_stands_still_or_goes_back() {
      // GIVEN
      HybridTimestamp first = clock.tick();
      wall.add(Duration.ofMillis(-500));
      // WHEN
      HybridTimestamp second = clock.tick();
      // THEN
      assertThat(second).isGreaterThan(first);
    }

    @Test
    void should_order_a_receive_event_after_its_send_event() {
      // GIVEN
      HybridTimestamp sent = new HybridTimestamp(5_000, 7);
      // WHEN
      HybridTimestamp received = clock.update(sent);
      // THEN
      assertThat(received).isGreaterThan(sent);
    }

    @Test
    void should_ignore_a_timestamp_from_far_in_the_future() {
      // GIVEN
      HybridTimestamp farAhead = new HybridTimestamp(Long.MAX_VALUE / 2, 0);
      // WHEN
      HybridTimestamp received = clock.update(farAhead);
      // THEN
      assertThat(received.wallMillis()).isEqualTo(1_000);
    }
  }

  @Nested
  class EventNumbers {
    @Test
    void should_assign_a_unique_number_to_every_event_kind() {
      // WHEN
      var numbers = Arrays.stream(EventKind.values()).map(EventKind::number);
      // THEN
      assertThat(numbers).doesNotHaveDuplicates();
    }
  }
}
