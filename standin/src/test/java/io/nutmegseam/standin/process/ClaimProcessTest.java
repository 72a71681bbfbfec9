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

/** Calls that may not be repeated: at most once, and "not run" is true. */
class ClaimProcessTest {
  private static final String BODY = "{\"amount\":40}";
  private static final String LEDGER_KEY = "/pay " + BODY;

  private static Cluster cluster() {
    return new Cluster()
        .dataCentre("dc")
        .service("pay1", "payments", "dc")
        .service("pay2", "payments", "dc")
        .node("n1", "dc")
        .node("n2", "dc")
        .start();
  }

  private static int runs(Cluster cluster) {
    return cluster.service("pay1").ledger().getOrDefault(LEDGER_KEY, 0)
        + cluster.service("pay2").ledger().getOrDefault(LEDGER_KEY, 0);
  }

  private static void fault(Cluster cluster, FaultRule... rules) {
    cluster.service("pay1").faults().setRules(List.of(rules));
    cluster.service("pay2").faults().setRules(List.of(rules));
  }

  @Nested
  class SameKey {
    @Test
    void should_run_once_if_it_comes_to_both_nodes_at_once() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        ExecutorService callers = Executors.newCachedThreadPool();
        List<CompletableFuture<Reply>> futures = new ArrayList<>();
        // WHEN
        for (int i = 0; i < 12; i++) {
          String node = i % 2 == 0 ? "n1" : "n2";
          futures.add(CompletableFuture.supplyAsync(() -> cluster.pay(node, "k", BODY), callers));
        }
        List<Reply> replies = futures.stream().map(CompletableFuture::join).toList();
        callers.shutdown();
        // THEN
        assertThat(runs(cluster)).isEqualTo(1);
        assertThat(replies).anyMatch(reply -> reply.status() == 200);
        assertThat(replies)
            .filteredOn(reply -> reply.status() != 200)
            .extracting(Reply::kind)
            .containsOnly("call-in-progress");
      }
    }

    @Test
    void should_get_the_stored_answer_through_another_node() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        Reply first = cluster.pay("n1", "k", BODY);
        awaitThat(() -> cluster.node("n1").events("CLAIM_DONE", "") == 1);
        // WHEN
        Reply second = cluster.pay("n2", "k", BODY);
        Reply conflict = cluster.pay("n2", "k", "{\"amount\":41}");
        // THEN
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(conflict.kind()).isEqualTo("idempotency-conflict");
        assertThat(runs(cluster)).isEqualTo(1);
      }
    }
  }

  @Nested
  class NodeKilled {
    @Test
    void should_leave_a_dispatched_call_unknown_and_never_run_it_again() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        fault(cluster, new FaultRule("call", FaultMode.LATE, 1, 3_000, ""));
        Thread caller = new Thread(() -> cluster.pay("n1", "k", BODY));
        caller.start();
        awaitThat(() -> runs(cluster) == 1);
        // WHEN
        cluster.node("n1").kill();
        cluster.node("n1").start();
        cluster.awaitReady("n1");
        Reply repeat = cluster.pay("n2", "k", BODY);
        // THEN
        assertThat(repeat.kind()).isEqualTo("outcome-unknown");
        assertThat(repeat.ran()).isEqualTo("unknown");
        assertThat(runs(cluster)).isEqualTo(1);
      }
    }

    @Test
    void should_leave_a_call_claimed_but_not_dispatched_unknown() {
      try (Cluster cluster = cluster()) {
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
        Reply repeat = cluster.pay("n2", "k", BODY);
        // THEN
        assertThat(repeat.kind()).isEqualTo("outcome-unknown");
        assertThat(runs(cluster)).isZero();
      }
    }
  }

  @Nested
  class StoreAnswersLost {
    @ParameterizedTest
    @CsvSource({"LOSE_ANSWER,1", "LOSE_ANSWER,2", "LATE,1", "DROP,1", "REFUSE,1", "CUT,2"})
    void should_run_once_over_all_repeats(FaultMode mode, int count) {
      try (Cluster cluster = cluster()) {
        // GIVEN
        cluster
            .platform()
            .faults()
            .setRules(List.of(new FaultRule("commit", mode, count, 1_500, "claim/")));
        // WHEN
        Reply first = cluster.pay("n1", "k", BODY);
        Reply second = cluster.pay("n2", "k", BODY);
        Reply third = cluster.pay("n1", "k", BODY);
        // THEN
        int runs = runs(cluster);
        assertThat(runs).isLessThanOrEqualTo(1);
        boolean answered = List.of(first, second, third).stream().anyMatch(r -> r.status() == 200);
        assertThat(answered).isEqualTo(runs == 1);
      }
    }

    @Test
    void should_refuse_with_not_run_while_the_store_is_out() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        cluster.platformLink("n1").cut();
        // WHEN
        Reply refused = cluster.pay("n1", "k", BODY);
        int runsWhileOut = runs(cluster);
        cluster.platformLink("n1").heal();
        // THEN
        assertThat(refused.kind()).isEqualTo("platform-unavailable");
        assertThat(refused.ran()).isEqualTo("no");
        assertThat(runsWhileOut).isZero();
        awaitThat(() -> cluster.pay("n1", "k", BODY).status() == 200);
        assertThat(runs(cluster)).isEqualTo(1);
      }
    }
  }

  @Nested
  class ServiceFaults {
    @ParameterizedTest
    @CsvSource({"REFUSE,200,1", "DROP,502,0", "LOSE_ANSWER,502,1", "CUT,502,1"})
    void should_repeat_only_what_certainly_did_not_run(FaultMode mode, int status, int runs) {
      try (Cluster cluster = cluster()) {
        // GIVEN
        cluster.service("pay1").faults().setRules(List.of(new FaultRule("call", mode, 1, 0, "")));
        cluster.service("pay2").faults().setRules(List.of(new FaultRule("call", mode, 1, 0, "")));
        if (mode == FaultMode.REFUSE) {
          cluster.service("pay2").faults().setRules(List.of());
        }
        // WHEN
        Reply reply = cluster.pay("n1", "k", BODY);
        Reply repeat = cluster.pay("n2", "k", BODY);
        // THEN
        assertThat(reply.status()).isEqualTo(status);
        assertThat(runs(cluster)).isEqualTo(runs);
        if (status != 200) {
          assertThat(reply.ran()).isEqualTo("unknown");
          assertThat(repeat.kind()).isEqualTo("outcome-unknown");
        }
      }
    }

    @Test
    void should_repeat_an_idempotent_call_at_another_server() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        cluster
            .service("pay1")
            .faults()
            .setRules(List.of(new FaultRule("call", FaultMode.CUT, -1, 0, "")));
        // WHEN
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
          String url = cluster.node("n1").callers() + "/v1/services/payments/look";
          statuses.add(cluster.post(url, "{\"n\":" + i + "}", java.util.Map.of()).status());
        }
        // THEN
        assertThat(statuses).containsOnly(200);
      }
    }
  }

  @Nested
  class BadInput {
    @Test
    void should_refuse_an_unrepeatable_call_without_a_key() {
      try (Cluster cluster = cluster()) {
        // WHEN
        String url = cluster.node("n1").callers() + "/v1/services/payments/pay";
        Reply reply = cluster.post(url, BODY, java.util.Map.of());
        // THEN
        assertThat(reply.kind()).isEqualTo("missing-idempotency-key");
        assertThat(runs(cluster)).isZero();
      }
    }
  }
}
