package io.nutmegseam.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class InventorySyncTest {
  private static final long START_MILLIS = 6_500;

  private final InventorySync sync = new InventorySync(START_MILLIS);

  /**
   * The lease holder changes while many requests wait for low-demand models. A plan without the
   * inventories would load models that servers already have.
   */
  @Nested
  class NewHolder {
    @Test
    void should_not_plan_before_the_servers_have_reported() {
      assertThat(sync.isComplete(0, 13, START_MILLIS)).isFalse();
      assertThat(sync.isComplete(12, 13, START_MILLIS + 100)).isFalse();
    }

    @Test
    void should_plan_as_soon_as_all_servers_have_reported() {
      assertThat(sync.isComplete(13, 13, START_MILLIS + 50)).isTrue();
    }

    @Test
    void should_not_wait_beyond_the_limit_for_an_unavailable_server() {
      assertThat(sync.isComplete(12, 13, START_MILLIS + 1_200)).isTrue();
    }
  }
}
