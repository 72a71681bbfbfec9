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

/**
 * Checks that accepted configuration changes reach every node, and that the revision of a node
 * never decreases.
 */
class ConfigProcessTest {
  private static final String MODEL_SCHEMA_1 =
      "{'schemaVersion':1,'kind':'Model','name':'%s','memoryGib':1,'replicas':%d}";
  private static final String MODEL_SCHEMA_2 =
      "{'schemaVersion':2,'kind':'Model','name':'%s','memoryBytes':1,'maxReplicas':%d}";

  private static Cluster startCluster() {
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
      try (Cluster cluster = startCluster()) {
        // GIVEN
        ExecutorService operators = Executors.newCachedThreadPool();
        List<CompletableFuture<ApiResponse>> futures = new ArrayList<>();
        // WHEN
        for (int i = 0; i < 10; i++) {
          String node = i % 2 == 0 ? "n1" : "n2";
          String text = (i % 2 == 0 ? MODEL_SCHEMA_1 : MODEL_SCHEMA_2).formatted("r" + i, 0);
          futures.add(CompletableFuture.supplyAsync(() -> cluster.apply(node, text), operators));
        }
        List<ApiResponse> responses = futures.stream().map(CompletableFuture::join).toList();
        operators.shutdown();
        // THEN
        List<Long> accepted =
            responses.stream()
                .filter(response -> response.status() == 200)
                .map(response -> response.json().path("revision").asLong())
                .toList();
        assertThat(accepted).isNotEmpty().doesNotHaveDuplicates();
        assertThat(responses)
            .filteredOn(response -> response.status() != 200)
            .extracting(ApiResponse::errorKind)
            .allMatch("revision-conflict"::equals);
        long last = accepted.stream().mapToLong(Long::longValue).max().orElse(0);
        awaitThat(() -> cluster.revision("n1") == last && cluster.revision("n2") == last);
      }
    }

    @Test
    void should_be_refused_if_based_on_an_older_revision() {
      try (Cluster cluster = startCluster()) {
        // WHEN
        ApiResponse response =
            cluster.post(
                cluster.node("n1").operatorUrl() + "/v1/records",
                MODEL_SCHEMA_2.formatted("x", 1).replace('\'', '"'),
                Map.of("X-If-Revision", "0"));
        // THEN
        assertThat(response.errorKind()).isEqualTo("revision-conflict");
        assertThat(cluster.revision("n1")).isEqualTo(1);
      }
    }

    @Test
    void should_be_applied_once_if_the_store_response_is_lost() {
      try (Cluster cluster = startCluster()) {
        // GIVEN
        cluster
            .platform()
            .faults()
            .setRules(List.of(new FaultRule("commit", FaultMode.LOSE_ANSWER, 1, 0, "config/")));
        // WHEN
        ApiResponse response = cluster.apply("n1", MODEL_SCHEMA_2.formatted("x", 1));
        // THEN
        assertThat(response.json().path("revision").asLong()).isEqualTo(2);
        assertThat(cluster.getOperatorJson("n1", "/v1/history")).hasSize(2);
      }
    }
  }

  @Nested
  class DisconnectedNode {
    @Test
    void should_receive_a_revision_from_a_peer_while_the_platform_is_unreachable() {
      try (Cluster cluster = startCluster()) {
        // GIVEN
        cluster.platformProxy("n2").disconnect();
        awaitThat(() -> !cluster.status("n2").path("platformAvailable").asBoolean());
        // WHEN
        cluster.apply("n1", MODEL_SCHEMA_2.formatted("x", 1));
        // THEN
        awaitThat(() -> cluster.revision("n2") == 2);
      }
    }

    @Test
    void should_serve_a_loaded_model_and_catch_up_without_a_decreasing_revision() {
      try (Cluster cluster = startCluster()) {
        // GIVEN
        cluster.chat("n2", "m1", "warm", Map.of());
        cluster.platformProxy("n2").disconnect();
        cluster.peerProxy("n2").disconnect();
        cluster.peerProxy("n1").disconnect();
        RevisionMonitor monitor = new RevisionMonitor(cluster, "n2");
        // WHEN
        cluster.apply("n1", MODEL_SCHEMA_2.formatted("x", 1));
        ApiResponse during = cluster.chat("n2", "m1", "cut", Map.of());
        cluster.platformProxy("n2").restore();
        cluster.peerProxy("n2").restore();
        cluster.peerProxy("n1").restore();
        // THEN
        awaitThat(() -> cluster.revision("n2") == 2);
        assertThat(during.completionText()).isEqualTo(Cluster.expectedCompletion("cut", 20));
        assertThat(monitor.hasDecreased()).isFalse();
        assertThat(cluster.invariants().violations()).isEmpty();
      }
    }
  }

  @Nested
  class RestartedNode {
    @Test
    void should_get_the_configuration_from_a_peer_while_the_platform_is_unreachable() {
      try (Cluster cluster = startCluster()) {
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

  /** Polls the configuration revision of a node and records whether it ever decreases. */
  private static final class RevisionMonitor {
    private volatile boolean decreased;

    private RevisionMonitor(Cluster cluster, String node) {
      Thread poller =
          new Thread(
              () -> {
                long highest = 0;
                for (int i = 0; i < 200; i++) {
                  long current = cluster.revision(node);
                  decreased |= current < highest;
                  highest = Math.max(highest, current);
                }
              });
      poller.setDaemon(true);
      poller.start();
    }

    private boolean hasDecreased() {
      return decreased;
    }
  }
}
