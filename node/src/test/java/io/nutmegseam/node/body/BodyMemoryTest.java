package io.nutmegseam.node.body;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BodyMemoryTest {
  private static final long LARGE_BYTES = 1 << 20;
  private static final long SMALL_BYTES = 100_000;

  /** Memory for three large bodies, and that of a further one for small ones. */
  private final BodyMemory memory = new BodyMemory(4 * LARGE_BYTES);

  private final List<String> granted = new ArrayList<>();

  private BodyMemory.Reservation reserve(String name, long bytes) {
    return memory.reserve(bytes, () -> granted.add(name));
  }

  private List<BodyMemory.Reservation> fillWithLargeBodies() {
    return List.of(reserve("a", LARGE_BYTES), reserve("b", LARGE_BYTES), reserve("c", LARGE_BYTES));
  }

  /** Guards against payments that wait while others upload. */
  @Nested
  class SmallBodies {
    @Test
    void should_not_wait_behind_large_ones() {
      fillWithLargeBodies();
      assertThat(reserve("large", LARGE_BYTES).isWaiting()).isTrue();
      assertThat(reserve("small", SMALL_BYTES).isWaiting()).isFalse();
    }

    @Test
    void should_not_wait_for_a_body_that_exceeds_the_memory() {
      reserve("large", 9 * LARGE_BYTES);
      assertThat(reserve("small", SMALL_BYTES).isWaiting()).isFalse();
    }

    @Test
    void should_wait_when_the_memory_is_full() {
      for (int i = 0; i < 41; i++) {
        assertThat(reserve("small", SMALL_BYTES).isWaiting()).isFalse();
      }
      assertThat(reserve("small", SMALL_BYTES).isWaiting()).isTrue();
      assertThat(reserve("empty", 0).isWaiting()).isFalse();
    }
  }

  @Nested
  class LargeBodies {
    @Test
    void should_be_granted_in_order() {
      List<BodyMemory.Reservation> first = fillWithLargeBodies();
      BodyMemory.Reservation next = reserve("d", LARGE_BYTES);
      BodyMemory.Reservation last = reserve("e", LARGE_BYTES);
      // WHEN
      first.get(1).release();
      // THEN
      assertThat(granted).containsExactly("d");
      assertThat(next.isWaiting()).isFalse();
      assertThat(last.isWaiting()).isTrue();
    }

    @Test
    void should_use_what_a_smaller_body_leaves() {
      List<BodyMemory.Reservation> first = fillWithLargeBodies();
      reserve("d", LARGE_BYTES);
      first.get(0).settle(SMALL_BYTES);
      assertThat(granted).containsExactly("d");
      assertThat(memory.reservedBytes()).isEqualTo(3 * LARGE_BYTES + SMALL_BYTES);
    }

    @Test
    void should_leave_the_queue_when_they_are_given_up() {
      List<BodyMemory.Reservation> first = fillWithLargeBodies();
      reserve("d", LARGE_BYTES).release();
      first.get(0).release();
      assertThat(granted).isEmpty();
      assertThat(memory.waitingCount()).isZero();
      assertThat(memory.reservedBytes()).isEqualTo(2 * LARGE_BYTES);
    }
  }

  /** Guards against bodies that wait for each other's memory. */
  @Property(tries = 300)
  void should_receive_every_body_in_the_end(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 200) int bodies) {
    Random random = new Random(seed);
    List<BodyMemory.Reservation> reservations = new ArrayList<>();
    for (int i = 0; i < bodies; i++) {
      boolean growing = random.nextInt(3) == 0;
      long bytes = growing ? BodyMemory.SMALL_BODY_BYTES : random.nextLong(2 * LARGE_BYTES);
      BodyMemory.Reservation reservation = reserve("body", bytes);
      reservations.add(reservation);
      if (growing && !reservation.isWaiting()) {
        reservation.growTo(2 * LARGE_BYTES);
      }
    }
    while (!reservations.isEmpty()) {
      assertThat(memory.reservedBytes()).isLessThanOrEqualTo(6 * LARGE_BYTES);
      List<BodyMemory.Reservation> ready =
          reservations.stream().filter(reservation -> !reservation.isWaiting()).toList();
      assertThat(ready).isNotEmpty();
      BodyMemory.Reservation ended = ready.get(random.nextInt(ready.size()));
      ended.release();
      reservations.remove(ended);
    }
    assertThat(memory.reservedBytes()).isZero();
    assertThat(memory.waitingCount()).isZero();
  }
}
