package io.nutmegseam.node.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class QuarantineTest {
  private final Quarantine quarantine = new Quarantine();

  @Nested
  class Turns {
    @Test
    void should_end_the_wait_at_the_deadline_while_another_suspect_runs() {
      // GIVEN
      assertThat(quarantine.tryEnter(0)).isTrue();
      // WHEN
      boolean entered = CompletableFuture.supplyAsync(() -> quarantine.tryEnter(1)).join();
      // THEN
      assertThat(entered).isFalse();
    }

    @Test
    void should_pass_to_the_next_suspect() {
      // GIVEN
      assertThat(quarantine.tryEnter(0)).isTrue();
      quarantine.leave();
      // WHEN
      boolean entered = CompletableFuture.supplyAsync(() -> quarantine.tryEnter(0)).join();
      // THEN
      assertThat(entered).isTrue();
    }
  }
}
