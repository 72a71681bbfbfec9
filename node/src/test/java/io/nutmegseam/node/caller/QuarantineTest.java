package io.nutmegseam.node.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class QuarantineTest {
  private final Quarantine quarantine = new Quarantine();

  @Nested
  class Entering {
    @Test
    void should_time_out_while_another_suspected_request_runs() {
      // GIVEN
      assertThat(quarantine.tryEnter(0)).isTrue();
      // WHEN
      boolean entered = CompletableFuture.supplyAsync(() -> quarantine.tryEnter(1)).join();
      // THEN
      assertThat(entered).isFalse();
    }

    @Test
    void should_admit_next_suspected_request_after_leave() {
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
