package io.nutmegseam.node.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RanStatus;
import io.nutmegseam.core.error.RequestException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RefusalsTest {
  private final RequestException refused =
      new RequestException(ErrorKind.BACKEND_REFUSED, "engine answered 503");

  @Nested
  class AfterSeveralAttempts {
    @Test
    void should_not_say_not_run_if_an_earlier_attempt_may_have_run() {
      // GIVEN
      Tried tried = Tried.none().with("a", false).with("b", true);
      // WHEN
      RequestException error = Refusals.afterAttempts(refused, tried);
      // THEN
      assertThat(error.kind().ran()).isEqualTo(RanStatus.UNKNOWN);
    }

    @Test
    void should_say_not_run_if_every_attempt_certainly_did_not_run() {
      // GIVEN
      Tried tried = Tried.none().with("a", true);
      // WHEN
      RequestException error = Refusals.afterAttempts(refused, tried);
      // THEN
      assertThat(error.kind().ran()).isEqualTo(RanStatus.NO);
    }
  }

  @Nested
  class Servers {
    @Test
    void should_not_be_asked_again_if_they_may_have_run_the_request() {
      // GIVEN
      Tried tried = Tried.none().with("a", false).with("b", true);
      // WHEN
      Tried afterPause = tried.withoutRefused();
      // THEN
      assertThat(afterPause.excludes("a")).isTrue();
      assertThat(afterPause.excludes("b")).isFalse();
    }
  }
}
