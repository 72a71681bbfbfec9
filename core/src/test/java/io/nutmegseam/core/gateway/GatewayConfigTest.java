package io.nutmegseam.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GatewayConfigTest {
  @Nested
  class Routes {
    private final GatewayConfig config =
        new GatewayConfig(
            1,
            List.of(route("short", "h", "/a/"), route("long", "h", "/a/b/")),
            Map.of(),
            new GatewayLimits(1, 1, 1, 1));

    @Test
    void should_choose_the_longest_prefix() {
      assertThat(config.route("h", "/a/b/c").map(Route::name)).contains("long");
      assertThat(config.route("h", "/a/x").map(Route::name)).contains("short");
    }

    @Test
    void should_match_whole_path_segments_only() {
      assertThat(config.route("h", "/a/bc").map(Route::name)).contains("short");
      assertThat(config.route("h", "/ab")).isEmpty();
    }

    @Test
    void should_not_match_another_host() {
      assertThat(config.route("other", "/a/b/c")).isEmpty();
    }
  }

  @Nested
  class Shares {
    @Test
    void should_choose_services_by_weight() {
      Route route =
          new Route(
              "r",
              "h",
              "/",
              RequestKind.IDEMPOTENT,
              false,
              1,
              1,
              1,
              0,
              1,
              List.of(new ServiceShare("big", 90), new ServiceShare("small", 10)));
      assertThat(route.chooseService(0)).isEqualTo("big");
      assertThat(route.chooseService(0.89)).isEqualTo("big");
      assertThat(route.chooseService(0.91)).isEqualTo("small");
    }
  }

  private static Route route(String name, String host, String prefix) {
    List<ServiceShare> shares = List.of(new ServiceShare("s", 1));
    return new Route(name, host, prefix, RequestKind.IDEMPOTENT, false, 1, 1, 1, 0, 1, shares);
  }
}
