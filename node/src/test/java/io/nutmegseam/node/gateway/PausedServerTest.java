package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.node.quota.SendQuotas;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests to a server that has rejected one with 503 and a Retry-After time, before
 * that time is over.
 */
class PausedServerTest {
  @Nested
  class Requests {
    private TestGateway gateway;
    private RecordingServer paused;

    @BeforeEach
    void startGateway() throws Exception {
      gateway = new TestGateway();
      paused = new RecordingServer("i0");
    }

    @AfterEach
    void stopGateway() throws Exception {
      gateway.close();
      paused.close();
    }

    @Test
    void should_be_refused_at_once_with_the_remaining_time_if_there_is_no_other_server()
        throws Exception {
      // GIVEN
      configure(paused);
      paused.rejectAll(Optional.of("2.5"));
      gateway.call("POST", "first", "");
      // WHEN
      String received = gateway.call("POST", "second", "");
      // THEN
      assertThat(received).startsWith("HTTP/1.1 503");
      double seconds = Double.parseDouble(StubServer.header(received, "retry-after"));
      assertThat(seconds).isBetween(1.5, 3.0);
      assertThat(paused.arrivals()).hasSize(1);
    }

    @Test
    void should_be_served_by_another_server() throws Exception {
      try (RecordingServer other = new RecordingServer("i1")) {
        // GIVEN
        configure(paused, other);
        paused.rejectAll(Optional.of("30"));
        // WHEN
        for (int i = 0; i < 20; i++) {
          assertThat(gateway.call("POST", "r" + i, "")).startsWith("HTTP/1.1 200");
        }
        // THEN
        assertThat(paused.arrivals()).hasSizeLessThanOrEqualTo(1);
      }
    }

    @Test
    void should_be_served_after_the_pause() throws Exception {
      // GIVEN
      configure(paused);
      paused.rejectAll(Optional.of("0.4"));
      gateway.call("POST", "first", "");
      // WHEN
      paused.rejectAll(Optional.empty());
      Thread.sleep(450);
      // THEN
      assertThat(gateway.call("POST", "second", "")).startsWith("HTTP/1.1 200");
    }

    private void configure(RecordingServer... servers) {
      gateway.configureEntries(
          TestGateway.route(RequestKind.IDEMPOTENT, false),
          List.of(servers).stream().map(RecordingServer::entry).toList());
    }
  }

  @Nested
  class Header {
    private static final Incarnation SERVER = new Incarnation("i0", 1);

    private final SendQuotas quotas = TestGateway.unlimitedQuotas(new TestClock());
    private final NamedLimits limits =
        new NamedLimits(TestGateway.HEADERS, quotas, (kind, subject, detail) -> {});

    @ParameterizedTest
    @CsvSource({"1, 1000", "0.25, 250", "0, 0", "3600, 3600000"})
    void should_be_read_as_seconds(String value, long pauseMillis) {
      limits.readPause(SERVER, HttpResponseStatus.SERVICE_UNAVAILABLE, headers(value));
      assertThat(quotas.pauseMillis(SERVER)).isEqualTo(pauseMillis);
    }

    @ParameterizedTest
    @ValueSource(
        strings = {"-1", "Wed, 21 Oct 2026 07:28:00 GMT", "soon", "", "NaN", "Infinity", "1e9"})
    void should_be_ignored_if_it_is_no_number_of_seconds(String value) {
      limits.readPause(SERVER, HttpResponseStatus.SERVICE_UNAVAILABLE, headers(value));
      assertThat(quotas.pauseMillis(SERVER)).isZero();
    }

    @Test
    void should_be_ignored_in_responses_with_another_status() {
      limits.readPause(SERVER, HttpResponseStatus.TOO_MANY_REQUESTS, headers("5"));
      assertThat(quotas.pauseMillis(SERVER)).isZero();
    }

    private static HttpHeaders headers(String retryAfter) {
      return new DefaultHttpHeaders().set("Retry-After", retryAfter);
    }
  }
}
