package io.nutmegseam.standin.process;

import static io.nutmegseam.standin.process.Cluster.awaitThat;
import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.standin.fault.FaultMode;
import io.nutmegseam.standin.fault.FaultRule;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that an engine's memory and a model's replicas stay within their limits while owners are
 * suspended or killed, and while responses to orders are lost.
 */
class OwnershipProcessTest {
  private static final Map<String, String> NONE = Map.of();

  private static Cluster startTwoNodes(boolean fencing) {
    return new Cluster()
        .dataCentre("dc")
        .engine("e1", "dc", 10, fencing)
        .model("m1", 6, 1)
        .model("m2", 6, 1)
        .node("n1", "dc")
        .node("n2", "dc")
        .start();
  }

  private static String otherNode(String node) {
    return node.equals("n1") ? "n2" : "n1";
  }

  @Nested
  class SuspendedOwner {
    @Test
    void should_be_replaced_at_a_server_with_fencing_and_cause_no_violation_after_resuming() {
      try (Cluster cluster = startTwoNodes(true)) {
        // GIVEN
        String owner = cluster.owner("n1", "e1");
        String successor = otherNode(owner);
        assertThat(cluster.chat(successor, "m1", "before", NONE).status()).isEqualTo(200);
        cluster.node(owner).suspend();
        // WHEN
        awaitThat(() -> cluster.owner(successor, "e1").equals(successor));
        ApiResponse during = cluster.chat(successor, "m2", "during", NONE);
        cluster.node(owner).resume();
        ApiResponse after = cluster.chat(owner, "m1", "after", NONE);
        // THEN
        assertThat(during.status()).isEqualTo(200);
        assertThat(after.status()).isEqualTo(200);
        assertThat(cluster.invariants().violations()).isEmpty();
      }
    }

    @Test
    void should_keep_a_server_without_fencing_that_continues_serving() throws Exception {
      try (Cluster cluster = startTwoNodes(false)) {
        // GIVEN
        String owner = cluster.owner("n1", "e1");
        String successor = otherNode(owner);
        assertThat(cluster.chat(successor, "m1", "before", NONE).status()).isEqualTo(200);
        // WHEN
        cluster.node(owner).suspend();
        TimeUnit.MILLISECONDS.sleep(4_000);
        String ownerWhileSuspended = cluster.owner(successor, "e1");
        ApiResponse served = cluster.chat(successor, "m1", "during", NONE);
        cluster.node(owner).resume();
        ApiResponse afterResume = cluster.chat(successor, "m2", "after", NONE);
        // THEN
        assertThat(ownerWhileSuspended).isEqualTo(owner);
        assertThat(served.completionText()).isEqualTo(Cluster.expectedCompletion("during", 20));
        assertThat(afterResume.status()).isEqualTo(200);
        assertThat(cluster.invariants().violations()).isEmpty();
      }
    }
  }

  @Nested
  class KilledOwner {
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void should_be_replaced_by_a_new_process_at_the_same_address(boolean fencing) {
      try (Cluster cluster = startTwoNodes(fencing)) {
        // GIVEN
        String owner = cluster.owner("n1", "e1");
        cluster
            .engine("e1")
            .faults()
            .setRules(List.of(new FaultRule("load", FaultMode.LATE, 1, 500, "")));
        Thread caller = new Thread(() -> cluster.chat(otherNode(owner), "m1", "x", NONE), "caller");
        caller.start();
        awaitThat(() -> !cluster.engine("e1").inventory().items().isEmpty());
        // WHEN
        cluster.node(owner).kill();
        cluster.node(owner).start();
        cluster.awaitReady(owner);
        awaitThat(() -> cluster.chat(owner, "m2", "y", NONE).status() == 200);
        // THEN
        assertThat(cluster.invariants().violations()).isEmpty();
      }
    }
  }

  @Nested
  class AmbiguousOrders {
    @ParameterizedTest
    @EnumSource(
        value = FaultMode.class,
        names = {"LOSE_ANSWER", "DROP", "REFUSE", "CUT", "LATE"})
    void should_be_resolved_from_the_inventory(FaultMode mode) {
      try (Cluster cluster = startTwoNodes(true)) {
        // GIVEN
        cluster
            .engine("e1")
            .faults()
            .setRules(
                List.of(
                    new FaultRule("load", mode, 2, 1_000, ""),
                    new FaultRule("unload", mode, 2, 1_000, "")));
        // WHEN
        ApiResponse first = cluster.chat("n1", "m1", "one", NONE);
        ApiResponse second = cluster.chat("n2", "m2", "two", NONE);
        ApiResponse third = cluster.chat("n1", "m1", "three", NONE);
        // THEN
        assertThat(List.of(first.status(), second.status(), third.status())).containsOnly(200);
        assertThat(cluster.invariants().violations()).isEmpty();
      }
    }

    @Test
    void should_be_resolved_if_the_engine_restarts_during_a_load() {
      try (Cluster cluster = startTwoNodes(true)) {
        // GIVEN
        Thread crash =
            new Thread(
                () -> {
                  awaitThat(() -> !cluster.engine("e1").inventory().items().isEmpty());
                  cluster.engine("e1").crash();
                });
        crash.start();
        // WHEN
        ApiResponse response = cluster.chat("n1", "m1", "one", NONE);
        // THEN
        assertThat(response.status()).isEqualTo(200);
        assertThat(cluster.invariants().violations()).isEmpty();
      }
    }
  }

  @Nested
  class Moves {
    @Test
    void should_complete_if_the_planner_is_killed_between_the_two_steps() {
      try (Cluster cluster =
          new Cluster()
              .dataCentre("dc")
              .engine("e1", "dc", 10, true)
              .engine("e2", "dc", 10, true)
              .model("m1", 6, 1)
              .node("n1", "dc")
              .node("n2", "dc")
              .start()) {
        // GIVEN
        assertThat(cluster.chat("n2", "m1", "before", NONE).status()).isEqualTo(200);
        String from =
            cluster.getOperatorJson("n2", "/v1/placements").get(0).path("server").asText();
        // WHEN
        cluster.post(cluster.node("n2").operatorUrl() + "/v1/drain/" + from, "", NONE);
        awaitThat(() -> cluster.node("n1").countEvents("PLACEMENT_DRAINING", "m1") > 0);
        cluster.node("n1").kill();
        awaitThat(
            () -> {
              var placement = cluster.getOperatorJson("n2", "/v1/placements").get(0);
              return placement.path("state").asText().equals("PLACED")
                  && !placement.path("server").asText().equals(from);
            });
        // THEN
        awaitThat(() -> cluster.chat("n2", "m1", "after", NONE).status() == 200);
        assertThat(cluster.invariants().violations()).isEmpty();
      }
    }
  }
}
