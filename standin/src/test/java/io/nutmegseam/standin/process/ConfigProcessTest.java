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
  class Changes {
    @Test
    void should_get_distinct_revisions_if_sent_concurrently() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        ExecutorService operators = Executors.newCachedThreadPool();
        List<CompletableFuture<ApiResponse>> futures = new ArrayList<>();
        // WHEN
        for (int i = 0; i < 10; i++) {
          String node = i % 2 == 0 ? "n1" : "n2";
          String text = (i % 2 == 0 ? MODEL_1 : MODEL_2).formatted("r" + i, 0);
          futures.add(CompletableFuture.supplyAsync(() -> cluster.apply(node, text), operators));
        }
        List<ApiResponse> replies = futures.stream().map(CompletableFuture::join).toList();
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
            .extracting(ApiResponse::errorKind)
            .allMatch("revision-conflict"::equals);
        long last = accepted.stream().mapToLong(Long::longValue).max().orElse(0);
        awaitThat(() -> cluster.revision("n1") == last && cluster.revision("n2") == last);
      }
    }

    @Test
    void should_be_refused_if_based_on_an_older_revision() {
      try (Cluster cluster = cluster()) {
        // WHEN
        ApiResponse reply =
            cluster.post(
                cluster.node("n1").operatorUrl() + "/v1/records",
                MODEL_2.formatted("x", 1).replace('\'', '"'),
                Map.of("X-If-Revision", "0"));
        // THEN
        assertThat(reply.errorKind()).isEqualTo("revision-conflict");
        assertThat(cluster.revision("n1")).isEqualTo(1);
      }
    }

    @Test
    void should_be_applied_once_if_the_store_response_is_lost() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        cluster
            .platform()
            .faults()
            .set(List.of(new FaultRule("commit", FaultMode.LOSE_ANSWER, 1, 0, "config/")));
        // WHEN
        ApiResponse reply = cluster.apply("n1", MODEL_2.formatted("x", 1));
        // THEN
        assertThat(reply.json().path("revision").asLong()).isEqualTo(2);
        assertThat(cluster.getOperatorJson("n1", "/v1/history")).hasSize(2);
      }
    }
  }

  @Nested
  class DisconnectedNode {
    @Test
    void should_receive_a_revision_from_a_peer_while_the_platform_is_unreachable() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        cluster.platformProxy("n2").disconnect();
        awaitThat(() -> !cluster.status("n2").path("platformAvailable").asBoolean());
        // WHEN
        cluster.apply("n1", MODEL_2.formatted("x", 1));
        // THEN
        awaitThat(() -> cluster.revision("n2") == 2);
      }
    }

    @Test
    void should_serve_a_loaded_model_and_catch_up_without_a_decreasing_revision() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        cluster.chat("n2", "m1", "warm", Map.of());
        cluster.platformProxy("n2").disconnect();
        cluster.peerProxy("n2").disconnect();
        cluster.peerProxy("n1").disconnect();
        RevisionWatch watch = new RevisionWatch(cluster, "n2");
        // WHEN
        cluster.apply("n1", MODEL_2.formatted("x", 1));
        ApiResponse during = cluster.chat("n2", "m1", "cut", Map.of());
        cluster.platformProxy("n2").restore();
        cluster.peerProxy("n2").restore();
        cluster.peerProxy("n1").restore();
        // THEN
        awaitThat(() -> cluster.revision("n2") == 2);
        assertThat(during.completionText()).isEqualTo(Cluster.expectedCompletion("cut", 20));
        assertThat(watch.fell()).isFalse();
        assertThat(cluster.invariants().violations()).isEmpty();
      }
    }
  }

  @Nested
  class RestartedNode {
    @Test
    void should_get_the_configuration_from_a_peer_while_the_platform_is_unreachable() {
      try (Cluster cluster = cluster()) {
        // GIVEN
        cluster.node("n2").kill();
        cluster.platformProxy("n2").disconnect();
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
