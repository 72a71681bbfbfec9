package io.nutmegseam.node.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RanStatus;
import io.nutmegseam.core.error.RequestException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestErrorsTest {
  private final RequestException refused =
      new RequestException(ErrorKind.BACKEND_REFUSED, "engine responded with 503");

  @Nested
  class AfterSeveralAttempts {
    @Test
    void should_not_report_not_run_if_an_earlier_attempt_may_have_run() {
      // GIVEN
      AttemptedServers attempted = AttemptedServers.none().with("a", false).with("b", true);
      // WHEN
      RequestException error = RequestErrors.afterAttempts(refused, attempted);
      // THEN
      assertThat(error.kind().ran()).isEqualTo(RanStatus.UNKNOWN);
    }

    @Test
    void should_report_not_run_if_every_attempt_proved_not_run() {
      // GIVEN
      AttemptedServers attempted = AttemptedServers.none().with("a", true);
      // WHEN
      RequestException error = RequestErrors.afterAttempts(refused, attempted);
      // THEN
      assertThat(error.kind().ran()).isEqualTo(RanStatus.NO);
    }
  }

  @Nested
  class RetryTargets {
    @Test
    void should_exclude_servers_that_may_have_run_the_request() {
      // GIVEN
      AttemptedServers attempted = AttemptedServers.none().with("a", false).with("b", true);
      // WHEN
      AttemptedServers afterPause = attempted.withoutRefused();
      // THEN
      assertThat(afterPause.excludes("a")).isTrue();
      assertThat(afterPause.excludes("b")).isFalse();
    }
  }
}
