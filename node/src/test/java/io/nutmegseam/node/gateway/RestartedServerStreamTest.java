package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.nutmegseam.core.gateway.RequestKind;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against unframed streams that end early, and look complete to the server's next start. */
class RestartedServerStreamTest {
  /** Longer than the delay at which the traffic thread counts as late. */
  private static final long PAUSE_MILLIS = 600;

  /** Time in which the node opens a second connection to a server with streams in progress. */
  private static final long IN_PROGRESS_MILLIS = 200;

  private TestGateway gateway;
  private KillableStreamServer server;

  @BeforeEach
  void startGateway() throws IOException {
    gateway = new TestGateway();
    server = new KillableStreamServer("a", "");
  }

  @AfterEach
  void stopServers() throws IOException {
    gateway.close();
    server.close();
  }

  /** The process is killed, and the next one listens at its address before the node asks. */
  @Nested
  class Restarted {
    // Guards against streams that look complete because the next process of the server listens.
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void should_not_complete_streams_whose_server_starts_again_at_once(int count) throws Exception {
      // GIVEN
      List<CompletableFuture<String>> calls = beginStreams(count);
      Thread.sleep(IN_PROGRESS_MILLIS);
      // WHEN
      server = server.restart();
      // THEN
      calls.forEach(call -> assertNotCompleted(call.join()));
    }

    // Guards against streams that look complete since the node was frozen during the restart.
    @ParameterizedTest
    @ValueSource(longs = {0, IN_PROGRESS_MILLIS})
    void should_not_complete_a_stream_whose_server_starts_again_while_the_node_is_paused(
        long inProgressMillis) throws Exception {
      // GIVEN
      List<CompletableFuture<String>> calls = beginStreams(1);
      Thread.sleep(inProgressMillis);
      // WHEN
      gateway.pause(PAUSE_MILLIS);
      server = server.restart();
      // THEN
      assertNotCompleted(calls.get(0).join());
    }
  }

  /** The process lives, and completes its streams. */
  @Nested
  class Completing {
    @Test
    void should_complete_a_stream_that_ends_while_the_node_is_paused() throws Exception {
      // GIVEN
      List<CompletableFuture<String>> calls = beginStreams(3);
      Thread.sleep(IN_PROGRESS_MILLIS);
      // WHEN
      gateway.pause(PAUSE_MILLIS);
      server.completeStreams();
      // THEN
      calls.forEach(call -> assertCompleted(call.join()));
    }

    @Test
    void should_complete_a_stream_that_ends_right_after_its_head() throws Exception {
      // GIVEN
      List<CompletableFuture<String>> calls = beginStreams(1);
      // WHEN
      server.completeStreams();
      // THEN
      assertCompleted(calls.get(0).join());
    }
  }

  private List<CompletableFuture<String>> beginStreams(int count) {
    gateway.configureEntries(
        TestGateway.route(RequestKind.STREAMING, false), List.of(server.entry()));
    List<CompletableFuture<String>> calls =
        IntStream.range(0, count)
            .mapToObj(
                i -> CompletableFuture.supplyAsync(() -> call("r" + i), ConnectionThreads::run))
            .toList();
    KillableStreamServer serving = server;
    await().until(() -> serving.streamCount() == count);
    return calls;
  }

  private String call(String id) {
    try {
      return gateway.call("POST", id, "");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void assertCompleted(String received) {
    assertThat(received).contains("data: a").contains("data: b");
    assertThat(TestGateway.isComplete(received)).as(received).isTrue();
  }

  private static void assertNotCompleted(String received) {
    assertThat(received).contains("data: a").doesNotContain("(no end)");
    assertThat(TestGateway.isComplete(received)).as(received).isFalse();
  }
}
