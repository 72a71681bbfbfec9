package io.nutmegseam.standin.process;

import static io.nutmegseam.standin.process.Cluster.awaitThat;
import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.standin.fault.FaultMode;
import io.nutmegseam.standin.fault.FaultRule;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests of caller requests: complete responses, cancellation, refusals, platform outage, shutdown,
 * and requests to backend servers that crash or leave.
 */
class RequestProcessTest {
  private static final Map<String, String> NONE = Map.of();

  private static Cluster startCluster(int engines, int replicas) {
    Cluster cluster = new Cluster().dataCentre("dc").model("m1", 4, replicas);
    for (int i = 1; i <= engines; i++) {
      cluster.engine("e" + i, "dc", 10, true);
    }
    return cluster.node("n1", "dc").node("n2", "dc").start();
  }

  @Nested
  class CompleteResponses {
    @ParameterizedTest
    @EnumSource(
        value = FaultMode.class,
        names = {"CROSS", "DUPLICATE", "CUT", "DROP", "REFUSE", "SLOW"})
    void should_reach_the_caller_of_their_request(FaultMode mode) {
      try (Cluster cluster = startCluster(2, 2)) {
        // GIVEN
        cluster.chat("n1", "m1", "warm", NONE);
        FaultRule rule = new FaultRule("completion", mode, 2, 500, "");
        cluster.engine("e1").faults().setRules(List.of(rule));
        cluster.engine("e2").faults().setRules(List.of(rule));
        // WHEN
        List<ApiResponse> responses = chatConcurrently(cluster, 6);
        // THEN
        for (int i = 0; i < responses.size(); i++) {
          ApiResponse response = responses.get(i);
          boolean complete =
              response.completionText().equals(Cluster.expectedCompletion("prompt-" + i, 20));
          boolean explicitError = response.status() >= 500 && !response.errorKind().isEmpty();
          assertThat(complete || explicitError).as("%s", response).isTrue();
        }
        assertThat(responses).filteredOn(r -> r.status() == 200).isNotEmpty();
        assertThat(cluster.invariants().violations()).isEmpty();
      }
    }

    private List<ApiResponse> chatConcurrently(Cluster cluster, int count) {
      ExecutorService callers = Executors.newCachedThreadPool();
      List<CompletableFuture<ApiResponse>> futures = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        String prompt = "prompt-" + i;
        String node = i % 2 == 0 ? "n1" : "n2";
        futures.add(
            CompletableFuture.supplyAsync(() -> cluster.chat(node, "m1", prompt, NONE), callers));
      }
      List<ApiResponse> responses = futures.stream().map(CompletableFuture::join).toList();
      callers.shutdown();
      return responses;
    }
  }

  @Nested
  class DisconnectedCallers {
    @Test
    void should_have_their_request_cancelled() throws IOException {
      try (Cluster cluster = startCluster(1, 1)) {
        // GIVEN
        cluster.chat("n1", "m1", "warm", NONE);
        String body =
            "{\"model\":\"m1\",\"max_tokens\":3000,\"stream\":true,\"messages\":"
                + "[{\"role\":\"user\",\"content\":\"long\"}]}";
        Request request =
            new Request.Builder()
                .url(cluster.node("n1").callerUrl() + "/v1/chat/completions")
                .post(RequestBody.create(body, MediaType.get("application/json")))
                .build();
        // WHEN
        try (Response response = new OkHttpClient().newCall(request).execute()) {
          response.body().source().readUtf8Line();
        }
        // THEN
        awaitThat(() -> cluster.node("n1").countEvents("REQUEST_CANCELLED", "") > 0);
        awaitThat(() -> cluster.status("n1").path("inFlight").asInt() == 0);
      }
    }
  }

  @Nested
  class Refusals {
    @Test
    void should_be_sent_at_once_if_the_deadline_is_shorter_than_the_load_time() {
      try (Cluster cluster = startCluster(1, 1)) {
        // WHEN
        ApiResponse response = cluster.chat("n1", "m1", "x", Map.of("X-Deadline-Millis", "300"));
        // THEN
        assertThat(response.errorKind()).isEqualTo("deadline-infeasible");
        assertThat(response.errorRan()).isEqualTo("no");
        assertThat(Integer.parseInt(response.retryAfter())).isPositive();
        assertThat(cluster.engine("e1").stats().loads()).isZero();
      }
    }

    @Test
    void should_be_sent_if_the_deadline_expires_while_the_weight_store_is_slow() {
      try (Cluster cluster = startCluster(1, 1)) {
        // GIVEN
        cluster.platform().weights().setSlowdown(100);
        // WHEN
        ApiResponse response = cluster.chat("n1", "m1", "x", Map.of("X-Deadline-Millis", "3000"));
        // THEN
        assertThat(response.errorKind()).isEqualTo("expired-in-queue");
        assertThat(response.errorRan()).isEqualTo("no");
        assertThat(response.retryAfter()).isNotEmpty();
      }
    }

    @Test
    void should_be_sent_if_every_server_of_the_model_is_unreachable() {
      try (Cluster cluster = startCluster(1, 1)) {
        // GIVEN
        cluster.chat("n1", "m1", "warm", NONE);
        cluster.engine("e1").close();
        // WHEN
        awaitThat(() -> !cluster.status("n1").path("servers").get(0).path("reachable").asBoolean());
        ApiResponse response = cluster.chat("n1", "m1", "x", NONE);
        // THEN
        assertThat(response.errorKind()).isEqualTo("no-backend-server");
        assertThat(response.retryAfter()).isNotEmpty();
      }
    }
  }

  @Nested
  class PlatformOutage {
    @Test
    void should_not_stop_warm_requests_or_cold_starts() {
      try (Cluster cluster = startCluster(1, 1)) {
        // GIVEN
        cluster.platformProxy("n1").disconnect();
        cluster.platformProxy("n2").disconnect();
        awaitThat(() -> !cluster.status("n1").path("platformAvailable").asBoolean());
        // WHEN
        ApiResponse cold = cluster.chat("n2", "m1", "cold", NONE);
        ApiResponse warm = cluster.chat("n1", "m1", "warm", NONE);
        // THEN
        assertThat(cold.completionText()).isEqualTo(Cluster.expectedCompletion("cold", 20));
        assertThat(warm.completionText()).isEqualTo(Cluster.expectedCompletion("warm", 20));
        assertThat(cluster.invariants().violations()).isEmpty();
      }
    }
  }

  @Nested
  class GracefulShutdown {
    @Test
    void should_complete_requests_in_flight_and_exit_with_status_zero() {
      try (Cluster cluster = startCluster(2, 2)) {
        // GIVEN
        cluster.chat("n1", "m1", "warm", NONE);
        ExecutorService callers = Executors.newCachedThreadPool();
        List<CompletableFuture<ApiResponse>> futures = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
          String prompt = "p" + i;
          futures.add(
              CompletableFuture.supplyAsync(
                  () -> cluster.chat("n1", "m1", prompt, 200, NONE), callers));
        }
        awaitThat(() -> cluster.status("n1").path("inFlight").asInt() == 8);
        // WHEN
        cluster.node("n1").terminate();
        int status = cluster.node("n1").awaitExit();
        // THEN
        for (int i = 0; i < 8; i++) {
          assertThat(futures.get(i).join().completionText())
              .isEqualTo(Cluster.expectedCompletion("p" + i, 200));
        }
        assertThat(status).isZero();
        callers.shutdown();
      }
    }
  }

  @Nested
  class CrashingRequests {
    @Test
    void should_be_refused_after_crashing_a_bounded_number_of_servers() {
      try (Cluster cluster = startCluster(4, 4)) {
        // GIVEN
        for (int i = 1; i <= 4; i++) {
          cluster
              .engine("e" + i)
              .faults()
              .setRules(List.of(new FaultRule("completion", FaultMode.CRASH, -1, 100, "poison")));
        }
        // WHEN
        List<String> kinds = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
          kinds.add(cluster.chat(i % 2 == 0 ? "n1" : "n2", "m1", "poison", NONE).errorKind());
        }
        ApiResponse unrelated = cluster.chat("n2", "m1", "innocent", NONE);
        // THEN
        long crashes =
            cluster.node("n1").countEvents("CRASH_STRIKE", "")
                + cluster.node("n2").countEvents("CRASH_STRIKE", "");
        assertThat(crashes).isLessThanOrEqualTo(2);
        assertThat(kinds).endsWith("repeated-crash", "repeated-crash");
        assertThat(unrelated.completionText())
            .isEqualTo(Cluster.expectedCompletion("innocent", 20));
      }
    }
  }

  @Nested
  class LeavingServers {
    @Test
    void should_get_no_new_requests_after_the_vm_list_marks_them_as_leaving() {
      checkNoNewRequests(
          (cluster, server) -> {
            String vms =
                "{\"vm-e1\":\"%s\",\"vm-e2\":\"%s\"}"
                    .formatted(
                        server.equals("e1") ? "leaving" : "live",
                        server.equals("e2") ? "leaving" : "live");
            cluster.post(cluster.platform().address() + "/vms", vms, NONE);
          });
    }

    @Test
    void should_get_no_new_requests_after_the_engine_reports_that_it_is_leaving() {
      checkNoNewRequests((cluster, server) -> cluster.engine(server).setLeaving(true));
    }

    @Test
    void should_get_no_new_requests_after_the_operator_drains_them() {
      checkNoNewRequests(
          (cluster, server) ->
              cluster.post(cluster.node("n1").operatorUrl() + "/v1/drain/" + server, "", NONE));
    }

    /** Marks a server as leaving. */
    private interface LeaveMarker {
      void markLeaving(Cluster cluster, String server);
    }

    private void checkNoNewRequests(LeaveMarker marker) {
      try (Cluster cluster = startCluster(2, 1)) {
        // GIVEN
        cluster.chat("n1", "m1", "warm", NONE);
        String server =
            cluster.getOperatorJson("n1", "/v1/placements").get(0).path("server").asText();
        // WHEN
        marker.markLeaving(cluster, server);
        awaitThat(() -> isLeaving(cluster, "n1", server) && isLeaving(cluster, "n2", server));
        cluster
            .engine(server)
            .faults()
            .setRules(List.of(new FaultRule("completion", FaultMode.CRASH, -1, 0, "")));
        awaitThat(() -> cluster.chat("n1", "m1", "x", NONE).status() == 200);
        ApiResponse other = cluster.chat("n2", "m1", "y", NONE);
        // THEN
        assertThat(other.status()).isEqualTo(200);
        assertThat(cluster.node("n1").countEvents("CRASH_STRIKE", "")).isZero();
        assertThat(cluster.invariants().violations()).isEmpty();
      }
    }

    private boolean isLeaving(Cluster cluster, String node, String server) {
      for (var row : cluster.status(node).path("servers")) {
        if (row.path("server").asText().equals(server)) {
          return row.path("leaving").asBoolean();
        }
      }
      return false;
    }
  }
}
