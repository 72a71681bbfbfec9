package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryLimiterTest {
  private static final double RATIO = 0.2;
  private static final double SLACK = 60;
  private static final long WINDOW_MILLIS = 10_000;

  private final TestClock clock = new TestClock();

  /** Callers retry at all nodes at the same time. */
  @Property(tries = 50)
  void should_keep_the_retries_of_all_nodes_within_the_shared_limit(
      @ForAll @IntRange(min = 1, max = 84) int nodes,
      @ForAll @IntRange(min = 0, max = 50) int requestsPerNode) {
    // GIVEN
    int retries = 0;
    for (int node = 0; node < nodes; node++) {
      RetryLimiter limiter = limiter(nodes);
      for (int i = 0; i < requestsPerNode; i++) {
        limiter.onNewRequest("s");
      }
      // WHEN
      while (limiter.tryAcquire("s")) {
        retries++;
      }
    }
    // THEN
    assertThat((double) retries).isLessThanOrEqualTo(RATIO * nodes * requestsPerNode + SLACK);
  }

  @Nested
  class RetryStorm {
    @Test
    void should_allow_retries_again_after_the_window_has_passed() {
      // GIVEN
      RetryLimiter limiter = limiter(1);
      while (limiter.tryAcquire("s")) {
        clock.advance(1);
      }
      // WHEN
      clock.advance(WINDOW_MILLIS);
      // THEN
      assertThat(limiter.tryAcquire("s")).isTrue();
    }
  }

  private RetryLimiter limiter(int nodes) {
    return new RetryLimiter(RATIO, SLACK, WINDOW_MILLIS, nodes, clock);
  }
}
