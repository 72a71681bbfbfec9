package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.node.gateway.StubServer.ConnectionAction;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against unframed streams of leaving servers that end early and look complete. */
class LeavingServerCrashTest {
  private static final String LEAVING = TestGateway.HEADERS.leaving() + ": 1\r\n";

  /** Time for which a stream goes on at a leaving server; shorter than the route's timeout. */
  private static final long LEAVING_MILLIS = 200;

  /** Longer than the delay at which the traffic thread counts as late. */
  private static final long PAUSE_MILLIS = 600;

  private TestGateway gateway;
  private KillableStreamServer server;
  private StubServer other;

  /** How a node learns that a server is leaving. */
  private enum Notice {
    DRAINING_ENTRY(""),
    RESPONSE(LEAVING),
    REMOVED_ENTRY("");

    private final String headers;

    Notice(String headers) {
      this.headers = headers;
    }
  }

  @BeforeEach
  void startGateway() throws IOException {
    gateway = new TestGateway();
  }

  @AfterEach
  void stopServers() throws IOException {
    gateway.close();
    if (server != null) {
      server.close();
    }
    if (other != null) {
      other.close();
    }
  }

  /** The server listens until its process is killed between two events. */
  @Nested
  class Killed {
    // Guards against streams that end early with the process of a leaving server and look complete.
    @ParameterizedTest
    @EnumSource(Notice.class)
    void should_not_complete_a_stream_whose_leaving_server_is_killed(Notice notice)
        throws Exception {
      // GIVEN
      List<CompletableFuture<String>> calls = beginStreams(notice, 1, false);
      // WHEN
      server.kill();
      // THEN
      assertNotCompleted(calls.get(0).join());
    }

    // Guards against several streams that end at the same moment with the process of a leaving
    // server and look complete.
    @Test
    void should_not_complete_any_of_the_streams_whose_leaving_server_is_killed() throws Exception {
      // GIVEN
      List<CompletableFuture<String>> calls = beginStreams(Notice.DRAINING_ENTRY, 3, false);
      // WHEN
      server.kill();
      // THEN
      calls.forEach(call -> assertNotCompleted(call.join()));
    }

    // Guards against streams that look complete because the killed server had stopped listening.
    @Test
    void should_not_complete_a_stream_whose_server_is_killed_after_it_stopped_listening()
        throws Exception {
      // GIVEN
      List<CompletableFuture<String>> calls = beginStreams(Notice.DRAINING_ENTRY, 1, false);
      server.stopListening();
      Thread.sleep(LEAVING_MILLIS);
      // WHEN
      server.kill();
      // THEN
      assertNotCompleted(calls.get(0).join());
    }

    // Guards against streams that look complete since their server was killed before a frozen node
    // read their head.
    @Test
    void should_not_complete_a_stream_whose_leaving_server_is_killed_while_the_node_is_paused()
        throws Exception {
      // GIVEN
      other = new StubServer("b", this::leaveAndEndProcess, ConnectionAction.CLOSE);
      gateway.configureEntries(
          TestGateway.route(RequestKind.STREAMING, false), List.of(other.entry("s")));
      // WHEN
      String received = call("r");
      // THEN
      assertNotCompleted(received);
    }

    private String leaveAndEndProcess(String head) {
      gateway.pause(PAUSE_MILLIS);
      gateway.state().addLeaving(other.entry("s").incarnation());
      try {
        other.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      return "HTTP/1.1 200 OK\r\nid: {id}\r\nreceipt: r\r\nContent-Type: text/event-stream\r\n\r\n"
          + KillableStreamServer.FIRST_EVENT;
    }

    // Guards against resumable streams that end early with the process of a leaving server.
    @Test
    void should_resume_a_stream_whose_leaving_server_is_killed() throws Exception {
      // GIVEN
      List<CompletableFuture<String>> calls = beginStreams(Notice.DRAINING_ENTRY, 1, true);
      String rest =
          "HTTP/1.1 200 OK\r\nid: {id}\r\nreceipt: r\r\nContent-Type: text/event-stream\r\n"
              + "Content-Length: %d\r\n\r\n%s"
                  .formatted(
                      KillableStreamServer.LAST_EVENT.length(), KillableStreamServer.LAST_EVENT);
      other = new StubServer("b", rest, ConnectionAction.CLOSE);
      list(server.entry().asDraining(), other.entry("s"));
      // WHEN
      server.kill();
      // THEN
      String received = calls.get(0).join();
      assertThat(received).contains("data: a").contains("data: b");
      assertThat(TestGateway.isComplete(received)).as(received).isTrue();
    }
  }

  /** The server completes its streams, whatever it does with its listener. */
  @Nested
  class Completing {
    @ParameterizedTest
    @EnumSource(Notice.class)
    void should_complete_a_stream_of_a_leaving_server_that_still_listens(Notice notice)
        throws Exception {
      // GIVEN
      List<CompletableFuture<String>> calls = beginStreams(notice, 1, false);
      // WHEN
      server.completeStreams();
      // THEN
      assertCompleted(calls.get(0).join());
    }

    @ParameterizedTest
    @EnumSource(Notice.class)
    void should_complete_a_stream_of_a_leaving_server_that_stopped_listening_before(Notice notice)
        throws Exception {
      // GIVEN
      List<CompletableFuture<String>> calls = beginStreams(notice, 1, false);
      server.stopListening();
      Thread.sleep(LEAVING_MILLIS);
      // WHEN
      server.completeStreams();
      // THEN
      assertCompleted(calls.get(0).join());
    }
  }

  /** Begins streams at a server, which is then leaving for some time. */
  private List<CompletableFuture<String>> beginStreams(Notice notice, int count, boolean resumable)
      throws Exception {
    server = new KillableStreamServer("a", notice.headers);
    gateway.configureEntries(
        TestGateway.route(RequestKind.STREAMING, resumable), List.of(server.entry()));
    List<CompletableFuture<String>> calls =
        IntStream.range(0, count)
            .mapToObj(
                i -> CompletableFuture.supplyAsync(() -> call("r" + i), ConnectionThreads::run))
            .toList();
    // A server that says so in a response gets no further streams.
    await().until(() -> server.streamCount() == count);
    switch (notice) {
      case DRAINING_ENTRY -> list(server.entry().asDraining());
      case REMOVED_ENTRY -> list();
      default -> await().until(() -> !gateway.state().isServing(server.entry()));
    }
    Thread.sleep(LEAVING_MILLIS);
    return calls;
  }

  private void list(ServerEntry... entries) {
    Map<String, ServerEntry> entryById = new HashMap<>();
    for (ServerEntry entry : entries) {
      entryById.put(entry.incarnation().id(), entry);
    }
    gateway.state().setFleet(new Fleet(entryById));
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
