package io.nutmegseam.standin.process;

import static io.nutmegseam.standin.process.Cluster.awaitThat;
import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.standin.fault.FaultMode;
import io.nutmegseam.standin.fault.FaultRule;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that a non-idempotent call runs at most once for its idempotency key, and that a call
 * reported as not run did not run.
 */
class ClaimProcessTest {
  private static final String BODY = "{\"amount\":40}";
  private static final String LEDGER_KEY = "/pay " + BODY;

  private static Cluster startCluster() {
    return new Cluster()
        .dataCentre("dc")
        .service("pay1", "payments", "dc")
        .service("pay2", "payments", "dc")
        .node("n1", "dc")
        .node("n2", "dc")
        .start();
  }

  private static int countRuns(Cluster cluster) {
    return cluster.service("pay1").ledger().getOrDefault(LEDGER_KEY, 0)
        + cluster.service("pay2").ledger().getOrDefault(LEDGER_KEY, 0);
  }

  private static void setFaults(Cluster cluster, FaultRule... rules) {
    cluster.service("pay1").faults().setRules(List.of(rules));
    cluster.service("pay2").faults().setRules(List.of(rules));
  }

  @Nested
  class SameKey {
    @Test
    void should_run_once_if_sent_to_both_nodes_concurrently() {
      try (Cluster cluster = startCluster()) {
        // GIVEN
        ExecutorService callers = Executors.newCachedThreadPool();
        List<CompletableFuture<ApiResponse>> futures = new ArrayList<>();
        // WHEN
        for (int i = 0; i < 12; i++) {
          String node = i % 2 == 0 ? "n1" : "n2";
          futures.add(CompletableFuture.supplyAsync(() -> cluster.pay(node, "k", BODY), callers));
        }
        List<ApiResponse> responses = futures.stream().map(CompletableFuture::join).toList();
        callers.shutdown();
        // THEN
        assertThat(countRuns(cluster)).isEqualTo(1);
        assertThat(responses).anyMatch(response -> response.status() == 200);
        assertThat(responses)
            .filteredOn(response -> response.status() != 200)
            .extracting(ApiResponse::errorKind)
            .containsOnly("call-in-progress");
      }
    }

    @Test
    void should_return_the_stored_response_through_another_node() {
      try (Cluster cluster = startCluster()) {
        // GIVEN
        ApiResponse first = cluster.pay("n1", "k", BODY);
        awaitThat(() -> cluster.node("n1").countEvents("CLAIM_DONE", "") == 1);
        // WHEN
        ApiResponse second = cluster.pay("n2", "k", BODY);
        ApiResponse conflict = cluster.pay("n2", "k", "{\"amount\":41}");
        // THEN
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(conflict.errorKind()).isEqualTo("idempotency-conflict");
        assertThat(countRuns(cluster)).isEqualTo(1);
      }
    }
  }

  @Nested
  class NodeKilled {
    @Test
    void should_report_a_dispatched_call_as_unknown_and_not_run_it_again() {
      try (Cluster cluster = startCluster()) {
        // GIVEN
        setFaults(cluster, new FaultRule("call", FaultMode.LATE, 1, 3_000, ""));
        Thread caller = new Thread(() -> cluster.pay("n1", "k", BODY));
        caller.start();
        awaitThat(() -> countRuns(cluster) == 1);
        // WHEN
        cluster.node("n1").kill();
        cluster.node("n1").start();
        cluster.awaitReady("n1");
        ApiResponse retry = cluster.pay("n2", "k", BODY);
        // THEN
        assertThat(retry.errorKind()).isEqualTo("outcome-unknown");
        assertThat(retry.errorRan()).isEqualTo("unknown");
        assertThat(countRuns(cluster)).isEqualTo(1);
      }
    }

    @Test
    void should_report_a_claimed_but_undispatched_call_as_unknown() {
      try (Cluster cluster = startCluster()) {
        // GIVEN
        cluster
            .platform()
            .faults()
            .setRules(List.of(new FaultRule("commit", FaultMode.LATE, 1, 700, "claim/")));
        Thread caller = new Thread(() -> cluster.pay("n1", "k", BODY));
        caller.start();
        awaitThat(() -> !cluster.platform().table().readRange("claim/", 0, 1).isEmpty());
        // WHEN
        cluster.node("n1").kill();
        cluster.node("n1").start();
        cluster.awaitReady("n1");
        ApiResponse retry = cluster.pay("n2", "k", BODY);
        // THEN
        assertThat(retry.errorKind()).isEqualTo("outcome-unknown");
        assertThat(countRuns(cluster)).isZero();
      }
    }
  }

  @Nested
  class StoreFaults {
    @ParameterizedTest
    @CsvSource({"LOSE_ANSWER,1", "LOSE_ANSWER,2", "LATE,1", "DROP,1", "REFUSE,1", "CUT,2"})
    void should_run_at_most_once_over_all_retries(FaultMode mode, int count) {
      try (Cluster cluster = startCluster()) {
        // GIVEN
        cluster
            .platform()
            .faults()
            .setRules(List.of(new FaultRule("commit", mode, count, 1_500, "claim/")));
        // WHEN
        ApiResponse first = cluster.pay("n1", "k", BODY);
        ApiResponse second = cluster.pay("n2", "k", BODY);
        ApiResponse third = cluster.pay("n1", "k", BODY);
        // THEN
        int runs = countRuns(cluster);
        assertThat(runs).isLessThanOrEqualTo(1);
        boolean succeeded = List.of(first, second, third).stream().anyMatch(r -> r.status() == 200);
        assertThat(succeeded).isEqualTo(runs == 1);
      }
    }

    @Test
    void should_refuse_calls_as_not_run_while_the_store_is_unreachable() {
      try (Cluster cluster = startCluster()) {
        // GIVEN
        cluster.platformProxy("n1").disconnect();
        // WHEN
        ApiResponse refused = cluster.pay("n1", "k", BODY);
        int runsWhileUnreachable = countRuns(cluster);
        cluster.platformProxy("n1").restore();
        // THEN
        assertThat(refused.errorKind()).isEqualTo("platform-unavailable");
        assertThat(refused.errorRan()).isEqualTo("no");
        assertThat(runsWhileUnreachable).isZero();
        awaitThat(() -> cluster.pay("n1", "k", BODY).status() == 200);
        assertThat(countRuns(cluster)).isEqualTo(1);
      }
    }
  }

  @Nested
  class ServiceFaults {
    @ParameterizedTest
    @CsvSource({"REFUSE,200,1", "DROP,502,0", "LOSE_ANSWER,502,1", "CUT,502,1"})
    void should_retry_only_calls_that_provably_did_not_run(FaultMode mode, int status, int runs) {
      try (Cluster cluster = startCluster()) {
        // GIVEN
        cluster.service("pay1").faults().setRules(List.of(new FaultRule("call", mode, 1, 0, "")));
        cluster.service("pay2").faults().setRules(List.of(new FaultRule("call", mode, 1, 0, "")));
        if (mode == FaultMode.REFUSE) {
          cluster.service("pay2").faults().setRules(List.of());
        }
        // WHEN
        ApiResponse response = cluster.pay("n1", "k", BODY);
        ApiResponse retry = cluster.pay("n2", "k", BODY);
        // THEN
        assertThat(response.status()).isEqualTo(status);
        assertThat(countRuns(cluster)).isEqualTo(runs);
        if (status != 200) {
          assertThat(response.errorRan()).isEqualTo("unknown");
          assertThat(retry.errorKind()).isEqualTo("outcome-unknown");
        }
      }
    }

    @Test
    void should_retry_an_idempotent_call_on_another_server() {
      try (Cluster cluster = startCluster()) {
        // GIVEN
        cluster
            .service("pay1")
            .faults()
            .setRules(List.of(new FaultRule("call", FaultMode.CUT, -1, 0, "")));
        // WHEN
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
          String url = cluster.node("n1").callerUrl() + "/v1/services/payments/look";
          statuses.add(cluster.post(url, "{\"n\":" + i + "}", java.util.Map.of()).status());
        }
        // THEN
        assertThat(statuses).containsOnly(200);
      }
    }
  }

  @Nested
  class InvalidRequests {
    @Test
    void should_reject_a_non_idempotent_call_without_a_key() {
      try (Cluster cluster = startCluster()) {
        // WHEN
        String url = cluster.node("n1").callerUrl() + "/v1/services/payments/pay";
        ApiResponse response = cluster.post(url, BODY, java.util.Map.of());
        // THEN
        assertThat(response.errorKind()).isEqualTo("missing-idempotency-key");
        assertThat(countRuns(cluster)).isZero();
      }
    }
  }
}
