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

  /** Room for three large bodies, and as much again as one for small ones. */
  private final BodyMemory memory = new BodyMemory(4 * LARGE_BYTES);

  private final List<String> granted = new ArrayList<>();

  private BodyMemory.Lease lease(String name, long bytes) {
    return memory.lease(bytes, () -> granted.add(name));
  }

  private List<BodyMemory.Lease> fillWithLargeBodies() {
    return List.of(lease("a", LARGE_BYTES), lease("b", LARGE_BYTES), lease("c", LARGE_BYTES));
  }

  /** Guards against payments that wait while others upload. */
  @Nested
  class SmallBodies {
    @Test
    void should_not_wait_behind_large_ones() {
      fillWithLargeBodies();
      assertThat(lease("large", LARGE_BYTES).isWaiting()).isTrue();
      assertThat(lease("small", SMALL_BYTES).isWaiting()).isFalse();
    }

    @Test
    void should_not_wait_for_a_body_that_exceeds_the_memory() {
      lease("large", 9 * LARGE_BYTES);
      assertThat(lease("small", SMALL_BYTES).isWaiting()).isFalse();
    }

    @Test
    void should_wait_when_the_memory_is_full() {
      for (int i = 0; i < 41; i++) {
        assertThat(lease("small", SMALL_BYTES).isWaiting()).isFalse();
      }
      assertThat(lease("small", SMALL_BYTES).isWaiting()).isTrue();
      assertThat(lease("empty", 0).isWaiting()).isFalse();
    }
  }

  @Nested
  class LargeBodies {
    @Test
    void should_be_granted_in_order() {
      List<BodyMemory.Lease> first = fillWithLargeBodies();
      BodyMemory.Lease next = lease("d", LARGE_BYTES);
      BodyMemory.Lease last = lease("e", LARGE_BYTES);
      // WHEN
      first.get(1).release();
      // THEN
      assertThat(granted).containsExactly("d");
      assertThat(next.isWaiting()).isFalse();
      assertThat(last.isWaiting()).isTrue();
    }

    @Test
    void should_use_what_a_smaller_body_leaves() {
      List<BodyMemory.Lease> first = fillWithLargeBodies();
      lease("d", LARGE_BYTES);
      first.get(0).settle(SMALL_BYTES);
      assertThat(granted).containsExactly("d");
      assertThat(memory.leasedBytes()).isEqualTo(3 * LARGE_BYTES + SMALL_BYTES);
    }

    @Test
    void should_leave_the_queue_when_they_are_given_up() {
      List<BodyMemory.Lease> first = fillWithLargeBodies();
      lease("d", LARGE_BYTES).release();
      first.get(0).release();
      assertThat(granted).isEmpty();
      assertThat(memory.waitingCount()).isZero();
      assertThat(memory.leasedBytes()).isEqualTo(2 * LARGE_BYTES);
    }
  }

  /** Guards against bodies that wait for each other's memory. */
  @Property(tries = 300)
  void should_receive_every_body_in_the_end(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 200) int bodies) {
    Random random = new Random(seed);
    List<BodyMemory.Lease> leases = new ArrayList<>();
    for (int i = 0; i < bodies; i++) {
      boolean growing = random.nextInt(3) == 0;
      long bytes = growing ? BodyMemory.SMALL_BODY_BYTES : random.nextLong(2 * LARGE_BYTES);
      BodyMemory.Lease lease = lease("body", bytes);
      leases.add(lease);
      if (growing && !lease.isWaiting()) {
        lease.growTo(2 * LARGE_BYTES);
      }
    }
    while (!leases.isEmpty()) {
      assertThat(memory.leasedBytes()).isLessThanOrEqualTo(6 * LARGE_BYTES);
      List<BodyMemory.Lease> ready = leases.stream().filter(lease -> !lease.isWaiting()).toList();
      assertThat(ready).isNotEmpty();
      BodyMemory.Lease ended = ready.get(random.nextInt(ready.size()));
      ended.release();
      leases.remove(ended);
    }
    assertThat(memory.leasedBytes()).isZero();
    assertThat(memory.waitingCount()).isZero();
  }
}
