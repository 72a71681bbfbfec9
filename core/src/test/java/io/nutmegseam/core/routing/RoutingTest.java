package io.nutmegseam.core.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.nutmegseam.core.admission.AdmissionRule;
import io.nutmegseam.core.error.ErrorKind;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.retry.RetryBudget;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RoutingTest {
  @Nested
  class ServerChoice {
    @Test
    void should_choose_the_server_that_completes_first() {
      // GIVEN
      List<Candidate> candidates = List.of(candidate("slow", 10, 0), candidate("fast", 100, 0));
      // WHEN
      var chosen = RoutingPolicy.expectedCompletion().choose(candidates, 10, 100, new Random(1));
      // THEN
      assertThat(chosen).hasValueSatisfying(c -> assertThat(c.server()).isEqualTo("fast"));
    }

    @Test
    void should_not_send_all_requests_to_the_one_server_that_looks_best() {
      // GIVEN
      List<Candidate> candidates =
          IntStream.range(0, 10).mapToObj(i -> candidate("s" + i, 50 + i, 0)).toList();
      Random random = new Random(7);
      // WHEN
      long servers =
          IntStream.range(0, 200)
              .mapToObj(
                  i ->
                      RoutingPolicy.expectedCompletion()
                          .choose(candidates, 10, 100, random)
                          .orElseThrow()
                          .server())
              .distinct()
              .count();
      // THEN
      assertThat(servers).isGreaterThan(4);
    }

    @Test
    void should_give_an_old_load_report_less_weight() {
      // GIVEN
      Candidate recent = new Candidate("s", 0, 8, 0, 50, 1, false);
      Candidate outdated = new Candidate("s", 0, 8, 10_000, 50, 1, false);
      // WHEN
      double recentMillis = recent.expectedCompletionMillis(0, 100);
      double outdatedMillis = outdated.expectedCompletionMillis(0, 100);
      // THEN
      assertThat(outdatedMillis).isLessThan(recentMillis);
    }
  }

  @Nested
  class Ejection {
    @Property(tries = 200, seed = "99")
    void should_never_exclude_more_than_half_of_the_servers(
        @ForAll @IntRange(min = 1, max = 12) int servers,
        @ForAll @IntRange(min = 0, max = 12) int failing) {
      // GIVEN
      List<Candidate> candidates =
          IntStream.range(0, servers).mapToObj(i -> candidate("s" + i, 50, 0)).toList();
      OutlierEjection ejection = OutlierEjection.none();
      for (int i = 0; i < Math.min(failing, servers); i++) {
        for (int failure = 0; failure < 3; failure++) {
          ejection = ejection.withFailure("s" + i, 0);
        }
      }
      // WHEN
      List<Candidate> kept = ejection.filter(candidates, 1);
      // THEN
      assertThat(kept.size() * 2).isGreaterThanOrEqualTo(servers);
    }
  }

  @Nested
  class Ownership {
    @Test
    void should_reassign_few_servers_if_a_node_leaves() {
      // GIVEN
      List<String> nodes = IntStream.range(0, 10).mapToObj(i -> "node-" + i).toList();
      List<String> fewer = nodes.subList(1, nodes.size());
      // WHEN
      long reassigned =
          IntStream.range(0, 1_000)
              .mapToObj(i -> "server-" + i)
              .filter(s -> !RendezvousHash.pick(s, nodes).equals(RendezvousHash.pick(s, fewer)))
              .count();
      // THEN
      assertThat(reassigned).isBetween(50L, 160L);
    }
  }

  @Nested
  class Admission {
    @ParameterizedTest
    @CsvSource({
      "0, 10, 1000, 1001, true, DEADLINE_INFEASIBLE",
      "10, 10, 1000, 0, true, QUEUE_FULL",
      "0, 10, 1000, 0, false, NO_BACKEND_SERVER"
    })
    void should_refuse_immediately_with_a_retry_time(
        int waiting,
        int limit,
        long remainingMillis,
        long expectedMillis,
        boolean serverAvailable,
        ErrorKind kind) {
      // GIVEN
      AdmissionRule.Inputs inputs =
          new AdmissionRule.Inputs(
              "m", waiting, limit, remainingMillis, expectedMillis, serverAvailable);
      // WHEN
      RequestException refusal =
          catchThrowableOfType(RequestException.class, () -> AdmissionRule.check(inputs));
      // THEN
      assertThat(refusal.kind()).isEqualTo(kind);
      assertThat(refusal.retryAfterMillis()).isPositive();
    }
  }

  @Nested
  class Retries {
    @Test
    void should_allow_retries_only_as_a_share_of_new_requests() {
      // GIVEN
      RetryBudget budget = new RetryBudget();
      int allowed = 0;
      // WHEN
      for (int i = 0; i < 1_000; i++) {
        budget.onNewRequest(10);
        allowed += budget.tryAcquire() ? 1 : 0;
      }
      // THEN
      assertThat(allowed).isBetween(100, 111);
    }
  }

  private static Candidate candidate(String server, double tokensPerSecond, int outstanding) {
    return new Candidate(server, outstanding, 0, 0, tokensPerSecond, 1, false);
  }
}
