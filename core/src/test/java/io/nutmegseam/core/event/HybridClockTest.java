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
  class Order {
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
    void should_put_a_receipt_after_its_sending() {
      // GIVEN
      HybridTimestamp sent = new HybridTimestamp(5_000, 7);
      // WHEN
      HybridTimestamp received = clock.receive(sent);
      // THEN
      assertThat(received).isGreaterThan(sent);
    }

    @Test
    void should_not_follow_a_timestamp_from_far_in_the_future() {
      // GIVEN
      HybridTimestamp absurd = new HybridTimestamp(Long.MAX_VALUE / 2, 0);
      // WHEN
      HybridTimestamp received = clock.receive(absurd);
      // THEN
      assertThat(received.wallMillis()).isEqualTo(1_000);
    }
  }

  @Nested
  class Numbers {
    @Test
    void should_give_every_event_kind_its_own_number() {
      // WHEN
      var numbers = Arrays.stream(EventKind.values()).map(EventKind::number);
      // THEN
      assertThat(numbers).doesNotHaveDuplicates();
    }
  }
}
