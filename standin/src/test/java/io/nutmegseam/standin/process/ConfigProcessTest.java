package io.nutmegseam.standin.process;

import static io.nutmegseam.standin.process.Cluster.awaitThat;
import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.standin.fault.FaultMode;
import io.nutmegseam.standin.fault.FaultRule;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Configuration: in force everywhere, and it never reverts. */
class ConfigProcessTest {
  private static final String MODEL_1 =
      "{'schemaVersion':1,'kind':'Model','name':'%s','memoryGib':1,'replicas':%d}";
  private static final String MODEL_2 =
      "{'schemaVersion':2,'kind':'Model','name':'%s','memoryBytes':1,'maxReplicas':%d}";

  private static Cluster cluster() {
    return new Cluster()
        .dataCentre("dc-a")
        .dataCentre("dc-b")
        .engine("e1", "dc-a", 10, true)
        .model("m1", 4, 1)
        .node("n1", "dc-a")
        .node("n2", "dc-b", "n1")
        .start();
  }

  @Nested
  class Operators {
    @Test
    void should_have_each_accepted_change_under_its_own_revision_while_they_race() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        ExecutorService operators = Executors.newCachedThreadPool();
        List<CompletableFuture<Reply>> futures = new ArrayList<>();
        // WHEN
        for (int i = 0; i < 10; i++) {
          String node = i % 2 == 0 ? "n1" : "n2";
          String text = (i % 2 == 0 ? MODEL_1 : MODEL_2).formatted("r" + i, 0);
          futures.add(CompletableFuture.supplyAsync(() -> cluster.apply(node, text), operators));
        }
        List<Reply> replies = futures.stream().map(CompletableFuture::join).toList();
        operators.shutdown();
        // THEN
        List<Long> accepted =
            replies.stream()
                .filter(reply -> reply.status() == 200)
                .map(reply -> reply.json().path("revision").asLong())
                .toList();
        assertThat(accepted).isNotEmpty().doesNotHaveDuplicates();
        assertThat(replies)
            .filteredOn(reply -> reply.status() != 200)
            .extracting(Reply::kind)
            .allMatch("revision-conflict"::equals);
        long last = accepted.stream().mapToLong(Long::longValue).max().orElse(0);
        awaitThat(() -> cluster.revision("n1") == last && cluster.revision("n2") == last);
      }
    }

    @Test
    void should_be_refused_if_they_have_seen_an_older_revision() {
      try (Cluster cluster = cluster()) {
        // WHEN
        Reply reply =
            cluster.post(
                cluster.node("n1").operators() + "/v1/records",
                MODEL_2.formatted("x", 1).replace('\'', '"'),
                Map.of("X-If-Revision", "0"));
        // THEN
        assertThat(reply.kind()).isEqualTo("revision-conflict");
        assertThat(cluster.revision("n1")).isEqualTo(1);
      }
    }

    @Test
    void should_have_a_change_whose_answer_was_lost_applied_once() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        cluster
            .platform()
            .faults()
            .setRules(List.of(new FaultRule("commit", FaultMode.LOSE_ANSWER, 1, 0, "config/")));
        // WHEN
        Reply reply = cluster.apply("n1", MODEL_2.formatted("x", 1));
        // THEN
        assertThat(reply.json().path("revision").asLong()).isEqualTo(2);
        assertThat(cluster.operator("n1", "/v1/history")).hasSize(2);
      }
    }
  }

  @Nested
  class CutNode {
    @Test
    void should_take_a_revision_from_a_peer_while_the_platform_is_out_of_reach() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        cluster.platformLink("n2").cut();
        awaitThat(() -> !cluster.status("n2").path("platformAvailable").asBoolean());
        // WHEN
        cluster.apply("n1", MODEL_2.formatted("x", 1));
        // THEN
        awaitThat(() -> cluster.revision("n2") == 2);
      }
    }

    @Test
    void should_serve_what_it_can_and_catch_up_after_the_heal_without_a_step_back() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        cluster.chat("n2", "m1", "warm", Map.of());
        cluster.platformLink("n2").cut();
        cluster.peerLink("n2").cut();
        cluster.peerLink("n1").cut();
        RevisionWatch watch = new RevisionWatch(cluster, "n2");
        // WHEN
        cluster.apply("n1", MODEL_2.formatted("x", 1));
        Reply during = cluster.chat("n2", "m1", "cut", Map.of());
        cluster.platformLink("n2").heal();
        cluster.peerLink("n2").heal();
        cluster.peerLink("n1").heal();
        // THEN
        awaitThat(() -> cluster.revision("n2") == 2);
        assertThat(during.content()).isEqualTo(Cluster.expected("cut", 20));
        assertThat(watch.fell()).isFalse();
        assertThat(cluster.invariants().violations()).isEmpty();
      }
    }
  }

  @Nested
  class NewNode {
    @Test
    void should_start_from_its_peers_while_the_platform_is_out() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        cluster.node("n2").kill();
        cluster.platformLink("n2").cut();
        // WHEN
        cluster.node("n2").start();
        cluster.awaitReady("n2");
        // THEN
        assertThat(cluster.revision("n2")).isEqualTo(1);
      }
    }
  }

  /** Polls the revision of a node and notes whether it ever falls. */
  private static final class RevisionWatch {
    private volatile boolean fell;

    private RevisionWatch(Cluster cluster, String node) {
      Thread watcher =
          new Thread(
              () -> {
                long highest = 0;
                for (int i = 0; i < 200; i++) {
                  long now = cluster.revision(node);
                  fell |= now < highest;
                  highest = Math.max(highest, now);
                }
              });
      watcher.setDaemon(true);
      watcher.start();
    }

    private boolean fell() {
      return fell;
    }
  }
}
