package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Settings that change while the node runs. */
class SettingsReloadTest {
  private static final String SETTINGS =
      "{\"node\": \"n1\", \"dataCentre\": \"dc\", \"callerAddress\": \"127.0.0.1:1\","
          + " \"readyAddress\": \"127.0.0.1:2\", \"peerAddress\": \"127.0.0.1:3\","
          + " \"metricsAddress\": \"127.0.0.1:5\", \"storeAddress\": \"127.0.0.1:6\"}";

  private final List<String> log = new ArrayList<>();
  private final SettingsReload reload =
      new SettingsReload(
          GatewaySettings.parse(SETTINGS, new ArrayList<>()).orElseThrow(),
          (kind, subject, detail) -> log.add(kind + " " + detail));

  @Nested
  class ValidSettings {
    @Test
    void should_be_reported_with_what_has_changed() {
      // WHEN
      reload.check(() -> SETTINGS);
      reload.check(() -> SETTINGS.replace("127.0.0.1:6", "127.0.0.1:7"));
      // THEN
      assertThat(log)
          .containsExactly(
              "SETTINGS_RELOADED unchanged",
              "SETTINGS_RELOADED changed, effective from the next start: [storeAddress]");
    }
  }

  /** Guards against a node that ends, or takes half of its settings, while its file is written. */
  @Nested
  class MalformedSettings {
    @Test
    void should_be_refused_with_one_line_for_every_length_of_a_partly_written_file() {
      for (int length = 0; length < SETTINGS.length(); length++) {
        // GIVEN
        String partly = SETTINGS.substring(0, length);
        log.clear();
        // WHEN
        reload.check(() -> partly);
        // THEN
        assertThat(log).as("%d characters", length).hasSize(1);
        assertThat(log.get(0)).startsWith("SETTINGS_REFUSED");
      }
    }

    @Test
    void should_be_refused_if_they_cannot_be_read() {
      // WHEN
      reload.check(
          () -> {
            throw new IOException("gone");
          });
      // THEN
      assertThat(log).hasSize(1).first().asString().contains("SETTINGS_REFUSED", "gone");
    }
  }
}
