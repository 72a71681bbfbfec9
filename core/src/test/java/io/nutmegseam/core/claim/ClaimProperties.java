package io.nutmegseam.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.claim.ClaimStateMachine.Event;
import io.nutmegseam.core.claim.ClaimStateMachine.Phase;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ClaimProperties {
  private static final int TRIES = 3_000;
  private static final int STEPS = 80;

  @Property(tries = TRIES, seed = "815")
  void should_run_a_claimed_call_at_most_once(@ForAll long seed) {
    ClaimSimulation simulation = new ClaimSimulation(seed, true);
    simulation.run();
    assertThat(simulation.runs).isLessThanOrEqualTo(1);
    assertThat(simulation.ranAfterAbandon).isFalse();
  }

  @Nested
  class WithTheRuleBroken {
    @Test
    void should_find_a_second_run_if_an_unknown_insert_counts_as_confirmed() {
      // GIVEN
      boolean readsBack = false;
      // WHEN
      long violations =
          LongStream.range(0, TRIES)
              .filter(
                  seed -> {
                    ClaimSimulation simulation = new ClaimSimulation(seed, readsBack);
                    simulation.run();
                    return simulation.runs > 1;
                  })
              .count();
      // THEN
      assertThat(violations).isPositive();
    }
  }

  /** Simulates three attempts of one call at different nodes, and a store with delayed writes. */
  private static final class ClaimSimulation {
    private final Random random;
    private final boolean readsBack;
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Runnable> delayedWrites = new ArrayList<>();
    private ClaimRow row;
    private long version;
    private int runs;
    private boolean ranAfterAbandon;

    private ClaimSimulation(long seed, boolean readsBack) {
      this.random = new Random(seed);
      this.readsBack = readsBack;
      for (int i = 0; i < 3; i++) {
        attempts.add(new Attempt("attempt-" + i));
      }
    }

    private static final class Attempt {
      private final String id;
      private ClaimStateMachine machine = ClaimStateMachine.start();
      private boolean ended;

      private Attempt(String id) {
        this.id = id;
      }
    }

    private void run() {
      for (int i = 0; i < STEPS; i++) {
        Attempt attempt = attempts.get(random.nextInt(attempts.size()));
        if (random.nextInt(4) == 0 && !delayedWrites.isEmpty()) {
          delayedWrites.remove(random.nextInt(delayedWrites.size())).run();
        } else if (!attempt.ended) {
          step(attempt);
        }
      }
    }

    private void step(Attempt attempt) {
      switch (attempt.machine.phase()) {
        case INSERTING -> insert(attempt);
        case READING_BACK -> attempt.machine = attempt.machine.apply(read(attempt));
        case HELD -> dispatch(attempt);
        case BLOCKED -> attempt.ended = true;
        case REFUSED -> {
          attempt.ended = true;
          abandon(attempt);
        }
        default -> throw new IllegalStateException();
      }
      if (random.nextInt(30) == 0) {
        attempt.ended = true; // the node stops
      }
    }

    private void insert(Attempt attempt) {
      long expected = attempt.machine.expectedVersion();
      switch (random.nextInt(4)) {
        case 0 -> {
          delayedWrites.add(() -> write(attempt, expected));
          onUnknownOutcome(attempt);
        }
        case 1 -> {
          write(attempt, expected);
          onUnknownOutcome(attempt);
        }
        default ->
            attempt.machine =
                attempt.machine.apply(
                    write(attempt, expected)
                        ? new Event.InsertConfirmed()
                        : new Event.InsertConflicted());
      }
    }

    private void onUnknownOutcome(Attempt attempt) {
      attempt.machine =
          attempt.machine.apply(
              readsBack ? new Event.InsertUnknown() : new Event.InsertConfirmed());
    }

    private boolean write(Attempt attempt, long expected) {
      if (expected != (row == null ? 0 : version)) {
        return false;
      }
      row = new ClaimRow(attempt.id, "n", "i", "same", ClaimRow.State.CLAIMED, 0, "", "", 0);
      version++;
      return true;
    }

    private Event read(Attempt attempt) {
      if (random.nextInt(6) == 0) {
        return new Event.ReadFailed();
      }
      if (row == null) {
        return new Event.RowAbsent();
      }
      return new Event.RowFound(
          ClaimRule.decide(row, attempt.id, "same", random.nextBoolean()), version);
    }

    private void dispatch(Attempt attempt) {
      assertThat(attempt.machine.phase()).isEqualTo(Phase.HELD);
      attempt.ended = true;
      if (random.nextInt(4) == 0) {
        abandon(attempt); // the server confirmed that it did not run the call
        return;
      }
      runs++;
      if (row == null) {
        return; // happens only without the read-back: the call ran without a claim row
      }
      ranAfterAbandon |=
          row.state() == ClaimRow.State.ABANDONED && row.attempt().equals(attempt.id);
      if (random.nextBoolean() && row.attempt().equals(attempt.id)) {
        row = row.done(200, "text/plain", "eA==", 0);
        version++;
      }
    }

    private void abandon(Attempt attempt) {
      boolean own = row != null && row.attempt().equals(attempt.id);
      if (own && row.state() == ClaimRow.State.CLAIMED) {
        row = row.abandoned(0);
        version++;
      }
    }
  }
}
