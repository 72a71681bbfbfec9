package io.nutmegseam.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class VersionHistoryTest {
  private static final long WINDOW_MILLIS = 10_000;
  private static final long STEP_MILLIS = 1_000;

  private VersionHistory history = VersionHistory.EMPTY;
  private long nowMillis = 50_000;

  @Nested
  class OneVersion {
    @Test
    void should_be_certain_once_it_was_observed_for_the_whole_time() {
      observe(WINDOW_MILLIS - STEP_MILLIS, "v1", "v1");
      assertThat(sole()).isNull();
      observe(STEP_MILLIS, "v1", "v1");
      assertThat(sole()).isEqualTo("v1");
    }

    /** Versions of the distant past are forgotten. */
    @Test
    void should_not_be_certain_for_a_time_beyond_what_is_remembered() {
      long hourMillis = 3_600_000;
      observe(2 * hourMillis, "v1");
      assertThat(history.covers(nowMillis, WINDOW_MILLIS)).isTrue();
      assertThat(history.covers(nowMillis, hourMillis)).isFalse();
    }

    @Test
    void should_tell_whether_the_list_of_servers_is_old() {
      observe(WINDOW_MILLIS, "v1");
      assertThat(history.isCurrent(nowMillis)).isTrue();
      nowMillis += VersionHistory.MAX_AGE_MILLIS + 1;
      assertThat(history.isCurrent(nowMillis)).isFalse();
    }

    @Test
    void should_keep_the_versions_of_the_last_observation_while_it_gets_old() {
      observe(WINDOW_MILLIS, "v1");
      nowMillis += 3 * WINDOW_MILLIS;
      assertThat(sole()).isEqualTo("v1");
    }
  }

  @Nested
  class SeveralVersions {
    /** A node that does not reach the platform uses servers that are not listed any more. */
    @Test
    void should_count_a_version_as_used_for_a_while_after_its_last_server_was_listed() {
      long minuteMillis = 60_000;
      observe(WINDOW_MILLIS, "v1", "v1.1");
      observe(minuteMillis, "v1.1");
      assertThat(history.recentVersions("llm", nowMillis, WINDOW_MILLIS)).containsOnly("v1.1");
      assertThat(history.usedVersions("llm", nowMillis, WINDOW_MILLIS)).contains("v1");
      observe(2 * WINDOW_MILLIS, "v1.1");
      assertThat(history.usedVersions("llm", nowMillis, WINDOW_MILLIS)).containsOnly("v1.1");
    }

    @Test
    void should_not_be_certain_while_two_versions_serve() {
      observe(2 * WINDOW_MILLIS, "v1", "v1.1");
      assertThat(sole()).isNull();
    }

    /** A stream that the last server of a version began may still be resumed. */
    @Test
    void should_not_be_certain_shortly_after_the_last_server_of_a_version_has_left() {
      observe(WINDOW_MILLIS, "v1", "v1.1");
      observe(WINDOW_MILLIS - STEP_MILLIS, "v1.1");
      assertThat(sole()).isNull();
      observe(2 * STEP_MILLIS, "v1.1");
      assertThat(sole()).isEqualTo("v1.1");
    }

    @Test
    void should_tell_services_apart() {
      observe(WINDOW_MILLIS, "v1");
      assertThat(history.recentVersions("other", nowMillis, WINDOW_MILLIS)).isEmpty();
    }
  }

  /** Observes servers of versions each second for a time. */
  private void observe(long forMillis, String... versions) {
    for (long millis = 0; millis <= forMillis; millis += STEP_MILLIS) {
      history = history.observe(fleet(versions), nowMillis + millis);
    }
    nowMillis += forMillis;
  }

  /** Returns the only version of late, or null if that is not certain. */
  private String sole() {
    Set<String> versions = history.recentVersions("llm", nowMillis, WINDOW_MILLIS);
    boolean certain = history.covers(nowMillis, WINDOW_MILLIS) && versions.size() == 1;
    return certain ? versions.iterator().next() : null;
  }

  private static Fleet fleet(String... versions) {
    Map<String, ServerEntry> entries = new HashMap<>();
    for (String version : versions) {
      String id = "s" + entries.size();
      Inventory inventory = new Inventory(1, false, Map.of(), Set.of(), Set.of());
      entries.put(
          id,
          new ServerEntry(
              new Incarnation(id, 1), "llm", version, "127.0.0.1", 1, "dc", 4, false, inventory));
    }
    return new Fleet(entries);
  }
}
