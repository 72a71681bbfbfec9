package io.nutmegseam.standin.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs node processes under randomized faults. A seed that has failed is added to the regression
 * seeds, with the cause of its failure.
 */
class SoakTest {
  @Nested
  class RegressionSeeds {
    private static final Duration DURATION = Duration.ofSeconds(8);

    @ParameterizedTest
    // Seed 119: the soak waited for a terminating node before it undid other faults, so that no
    // fault was undone for 18 s; callers without a deadline of their own waited for 30 s.
    @ValueSource(longs = {1, 119})
    void should_report_no_violations(long seed) {
      runAndCheck(seed, DURATION);
    }
  }

  @Nested
  @EnabledIfSystemProperty(named = "soak.seeds", matches = "\\d+")
  class ByHand {
    @Test
    void should_report_no_violations_for_each_seed() {
      long first = Long.getLong("soak.seed", 1);
      Duration duration = Duration.ofSeconds(Long.getLong("soak.seconds", 12));
      LongStream.range(first, first + Long.getLong("soak.seeds"))
          .forEach(seed -> runAndCheck(seed, duration));
    }
  }

  private static void runAndCheck(long seed, Duration duration) {
    SoakRun.Outcome outcome = new SoakRun(seed, duration).run();
    System.out.printf(
        "soak: seed %d, %d answered, %d refused, %d faults, %d violations%n",
        seed,
        outcome.answered(),
        outcome.refused(),
        outcome.faults().size(),
        outcome.violations().size());
    assertThat(outcome.violations()).as("seed %d, faults %s", seed, outcome.faults()).isEmpty();
    assertThat(outcome.answered()).as("seed %d", seed).isPositive();
  }
}
