package io.nutmegseam.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LimitTableTest {
  private static final ServerLimits LIMITS = new ServerLimits(2);

  private final LimitTable table = new LimitTable();

  @Nested
  class Responses {
    @Test
    void should_end_a_limit_by_a_response_to_a_later_request_only() {
      // GIVEN
      table.onResponse(named(LIMITS, 100), 90);
      // WHEN a response without limit, to a request from before the limit was known
      boolean changed = table.onResponse(named(ServerLimits.NONE, 110), 95);
      // THEN
      assertThat(changed).isFalse();
      assertThat(table.limits("p")).isEqualTo(LIMITS);
      // WHEN
      changed = table.onResponse(named(ServerLimits.NONE, 130), 120);
      // THEN
      assertThat(changed).isTrue();
      assertThat(table.limits("p")).isEqualTo(ServerLimits.NONE);
    }

    @Test
    void should_tell_other_nodes_of_significant_changes_only() {
      assertThat(table.onResponse(named(LIMITS, 100), 90)).isTrue();
      assertThat(table.onResponse(named(new ServerLimits(2.1), 110), 105)).isFalse();
      assertThat(table.onResponse(named(new ServerLimits(3), 120), 115)).isTrue();
      assertThat(table.limits("p")).isEqualTo(new ServerLimits(3));
    }
  }

  @Nested
  class News {
    @Test
    void should_keep_the_later_of_two_statements() {
      // GIVEN
      table.onNews(named(ServerLimits.NONE, 50));
      table.onNews(named(LIMITS, 100));
      table.onNews(named(ServerLimits.NONE, 200));
      // WHEN
      boolean changed = table.onNews(named(LIMITS, 150));
      // THEN
      assertThat(changed).isFalse();
      assertThat(table.limits("p")).isEqualTo(ServerLimits.NONE);
    }

    @Test
    void should_forget_unlisted_processes_and_ended_limits_after_a_while() {
      // GIVEN
      table.onNews(named(LIMITS, 100));
      table.onNews(new NamedLimit("q", LIMITS, 100));
      // WHEN
      table.prune(process -> process.equals("p"), 30_000);
      assertThat(table.limitedCount()).isEqualTo(2);
      table.prune(process -> process.equals("p"), 90_000);
      // THEN
      assertThat(table.limits("p")).isEqualTo(LIMITS);
      assertThat(table.limits("q")).isEqualTo(ServerLimits.NONE);
    }
  }

  private static NamedLimit named(ServerLimits limits, long namedMillis) {
    return new NamedLimit("p", limits, namedMillis);
  }
}
