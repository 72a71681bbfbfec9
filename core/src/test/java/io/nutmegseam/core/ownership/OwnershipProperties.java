package io.nutmegseam.core.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.lease.HolderStatus;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OwnershipProperties {
  private static final int STEPS = 400;
  private static final int TRIES = 2_000;
  private static final String SEED = "4711";

  @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
  void should_never_overcommit_memory_of_a_server_with_fencing(@ForAll long seed) {
    OwnershipSimulation simulation =
        new OwnershipSimulation(seed, true, true, TakeoverRule.standard());
    simulation.run(STEPS);
    assertThat(simulation.peakBytes())
        .as(() -> String.join("\n", simulation.trace()))
        .isLessThanOrEqualTo(OwnershipSimulation.CAPACITY_BYTES);
  }

  /**
   * Guards against a server that refuses its owner for good, since a node that lost the server has
   * claimed it with a higher epoch than any that was written.
   */
  @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
  void should_never_claim_a_server_with_an_epoch_that_was_not_written(@ForAll long seed) {
    OwnershipSimulation simulation =
        new OwnershipSimulation(seed, true, true, TakeoverRule.standard());
    simulation.run(STEPS);
    assertThat(simulation.unwrittenEpochs())
        .as(() -> String.join("\n", simulation.trace()))
        .isZero();
  }

  /** Guards against orders of an earlier owner that the engine accepts beside those of the next. */
  @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
  void should_never_send_orders_before_the_engine_has_confirmed_the_epoch(@ForAll long seed) {
    OwnershipSimulation simulation =
        new OwnershipSimulation(seed, true, true, TakeoverRule.standard());
    simulation.run(STEPS);
    assertThat(simulation.unclaimedOrders())
        .as(() -> String.join("\n", simulation.trace()))
        .isZero();
  }

  @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
  void should_never_overcommit_memory_of_a_server_without_fencing(@ForAll long seed) {
    OwnershipSimulation simulation =
        new OwnershipSimulation(seed, false, false, TakeoverRule.standard());
    simulation.run(STEPS);
    assertThat(simulation.peakBytes())
        .as(() -> String.join("\n", simulation.trace()))
        .isLessThanOrEqualTo(OwnershipSimulation.CAPACITY_BYTES);
  }

  @Nested
  class WithTheRuleBroken {
    @Test
    void should_find_overcommitted_memory_if_a_lapsed_lease_is_enough_without_fencing() {
      // GIVEN
      TakeoverRule broken =
          (holder, checksFencing) ->
              holder == HolderStatus.LAPSED
                  || TakeoverRule.standard().mayTakeOver(holder, checksFencing);
      // WHEN
      long violations = violations(false, false, broken);
      // THEN
      assertThat(violations).isPositive();
    }

    @Test
    void should_find_overcommitted_memory_if_the_engine_does_not_check_epochs_as_declared() {
      // GIVEN
      boolean declared = true;
      boolean actual = false;
      // WHEN
      long violations = violations(declared, actual, TakeoverRule.standard());
      // THEN
      assertThat(violations).isPositive();
    }

    private long violations(boolean declared, boolean actual, TakeoverRule rule) {
      return LongStream.range(0, TRIES)
          .filter(
              seed -> {
                OwnershipSimulation simulation =
                    new OwnershipSimulation(seed, declared, actual, rule);
                simulation.run(STEPS);
                return simulation.peakBytes() > OwnershipSimulation.CAPACITY_BYTES;
              })
          .count();
    }
  }
}
