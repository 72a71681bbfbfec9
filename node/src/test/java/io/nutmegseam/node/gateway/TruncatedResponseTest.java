package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.node.gateway.StubServer.ConnectionAction;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses that a server breaks off and that look complete to the caller. */
class TruncatedResponseTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nid: {id}\r\nreceipt: r\r\n";
  private static final String STREAM = OK + "Content-Type: text/event-stream\r\n";
  private static final String UNFRAMED_STREAM = STREAM + "\r\n";
  private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
  private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";
  private static final String PARTIAL_EVENT = "id: 2\nda";

  /** Larger than the send and receive buffers of a connection together. */
  private static final int LARGE_BODY_BYTES = 32 << 20;

  private static final int LARGE_EVENT_BYTES = 600 << 10;

  /** Time in which the gateway opens a second connection to a server with a stream in progress. */
  private static final long HOLDING_MILLIS = 200;

  private TestGateway gateway;

  @BeforeEach
  void startGateway() throws IOException {
    gateway = new TestGateway();
  }

  @AfterEach
  void stopGateway() {
    gateway.close();
  }

  /** The process of a server crashes, which closes its connections in order. */
  @Nested
  class ResumableStream {
    @ParameterizedTest
    @CsvSource({
      "end of the connection, ''",
      "last chunk, Transfer-Encoding: chunked",
      "length, Content-Length: 23"
    })
    void should_resume_a_stream_that_ends_inside_an_event(String name, String framing)
        throws Exception {
      // GIVEN
      String begun = STREAM + framed(framing, FIRST_EVENT + PARTIAL_EVENT);
      String resumed = STREAM + framed("Transfer-Encoding: chunked", SECOND_EVENT);
      UnaryOperator<String> responses =
          head -> StubServer.header(head, "last").equals("1") ? resumed : begun;
      try (StubServer one = new StubServer("a", responses, ConnectionAction.CLOSE);
          StubServer other = new StubServer("b", responses, ConnectionAction.CLOSE)) {
        configure(true, one, other);
        // WHEN
        String received = gateway.call("POST", "1", "");
        // THEN
        assertThat(bodyOf(received)).as(name).isEqualTo(FIRST_EVENT + SECOND_EVENT);
        assertThat(TestGateway.isComplete(received)).as(received).isTrue();
      }
    }

    @Test
    void should_not_complete_a_stream_that_ends_inside_an_event_without_another_server()
        throws Exception {
      assertNotCompleted(true, UNFRAMED_STREAM + FIRST_EVENT + PARTIAL_EVENT);
    }

    /** The response to the resumed part is an error, whose body is no part of the stream. */
    @ParameterizedTest
    @ValueSource(strings = {"400 Bad Request", "302 Found", "500 Broken"})
    void should_not_append_an_error_to_a_stream(String status) throws Exception {
      // GIVEN
      String error =
          "HTTP/1.1 %s\r\nid: {id}\r\nreceipt: r\r\nContent-Length: 9\r\n\r\n{error}\n\n"
              .formatted(status);
      UnaryOperator<String> responses =
          head ->
              StubServer.header(head, "last").isEmpty()
                  ? UNFRAMED_STREAM + FIRST_EVENT + PARTIAL_EVENT
                  : error;
      try (StubServer one = new StubServer("a", responses, ConnectionAction.CLOSE);
          StubServer other = new StubServer("b", responses, ConnectionAction.CLOSE)) {
        configure(true, one, other);
        // WHEN
        String received = gateway.call("POST", "1", "");
        // THEN
        assertThat(received).contains("id: 1").doesNotContain("error");
        assertThat(TestGateway.isComplete(received)).as(received).isFalse();
      }
    }

    /** An event that is too large to be held back until its end arrives. */
    @Test
    void should_not_join_the_parts_of_an_event_of_two_servers() throws Exception {
      // GIVEN
      String partial = "id: 2\ndata: " + "x".repeat(LARGE_EVENT_BYTES);
      String begun =
          STREAM + "Transfer-Encoding: chunked\r\n\r\n" + chunk(FIRST_EVENT) + chunk(partial);
      String resumed = STREAM + framed("Transfer-Encoding: chunked", SECOND_EVENT);
      UnaryOperator<String> responses =
          head -> StubServer.header(head, "last").isEmpty() ? begun : resumed;
      try (StubServer one = new StubServer("a", responses, ConnectionAction.CLOSE);
          StubServer other = new StubServer("b", responses, ConnectionAction.CLOSE)) {
        configure(true, one, other);
        // WHEN
        String received = gateway.call("POST", "1", "");
        // THEN
        assertThat(received).contains("id: 1").doesNotContain("(no end)");
        if (TestGateway.isComplete(received)) {
          assertThat(bodyOf(received)).isEqualTo(FIRST_EVENT + SECOND_EVENT);
        }
      }
    }

    @Test
    void should_complete_a_stream_that_ends_with_its_connection_after_an_event() throws Exception {
      String response = UNFRAMED_STREAM + FIRST_EVENT + SECOND_EVENT;
      try (StubServer server = new StubServer("a", response, ConnectionAction.CLOSE)) {
        configure(true, server);
        String received = gateway.call("POST", "1", "");
        assertThat(TestGateway.isComplete(received)).as(received).isTrue();
        assertThat(bodyOf(received)).isEqualTo(FIRST_EVENT + SECOND_EVENT);
      }
    }

    /** A server that crashes after the head of its response and before the first event. */
    @Test
    void should_not_complete_a_stream_that_ends_with_its_connection_before_any_event()
        throws Exception {
      assertNotCompleted(true, UNFRAMED_STREAM);
    }
  }

  /** The stream is not resumable, so that its events are not needed to resume it. */
  @Nested
  class OtherStream {
    @ParameterizedTest
    @CsvSource({
      "end of the connection, ''",
      "last chunk, Transfer-Encoding: chunked",
      "length, Content-Length: 23"
    })
    void should_not_complete_a_stream_that_ends_inside_an_event(String name, String framing)
        throws Exception {
      assertNotCompleted(false, STREAM + framed(framing, FIRST_EVENT + PARTIAL_EVENT));
    }

    @Test
    void should_not_complete_a_stream_that_ends_with_its_connection_before_any_event()
        throws Exception {
      assertNotCompleted(false, UNFRAMED_STREAM);
    }
  }

  /** The process of a server ends between two events, and with it its listener. */
  @Nested
  class EndedProcess {
    private StubServer one;
    private StubServer other;

    // Guards against streams that end early with their server's process and look complete.
    @Test
    void should_resume_a_stream_whose_server_no_longer_listens() throws Exception {
      // GIVEN
      String resumed = STREAM + framed("Transfer-Encoding: chunked", SECOND_EVENT);
      UnaryOperator<String> responses =
          head -> StubServer.header(head, "last").isEmpty() ? endProcess(head) : resumed;
      one = new StubServer("a", responses, ConnectionAction.CLOSE);
      other = new StubServer("b", responses, ConnectionAction.CLOSE);
      configure(true, one, other);
      // WHEN
      String received = gateway.call("POST", "1", "");
      // THEN
      assertThat(bodyOf(received)).isEqualTo(FIRST_EVENT + SECOND_EVENT);
      assertThat(TestGateway.isComplete(received)).as(received).isTrue();
    }

    @Test
    void should_not_complete_another_stream_whose_server_no_longer_listens() throws Exception {
      // GIVEN
      one = new StubServer("a", this::endProcess, ConnectionAction.CLOSE);
      configure(false, one);
      // WHEN
      String received = gateway.call("POST", "1", "");
      // THEN
      assertThat(received).contains("id: 1").doesNotContain("(no end)");
      assertThat(TestGateway.isComplete(received)).as(received).isFalse();
    }

    // Guards against streams that end early with a process that was listed under its next start.
    @Test
    void should_not_complete_a_stream_whose_server_was_listed_anew_and_no_longer_listens()
        throws Exception {
      // GIVEN
      UnaryOperator<String> responses =
          head -> {
            gateway.state().setFleet(new Fleet(Map.of("a", one.entry("s", 2))));
            return endProcess(head);
          };
      one = new StubServer("a", responses, ConnectionAction.CLOSE);
      configure(false, one);
      // WHEN
      String received = gateway.call("POST", "1", "");
      // THEN
      assertThat(received).contains("id: 1").doesNotContain("(no end)");
      assertThat(TestGateway.isComplete(received)).as(received).isFalse();
    }

    // Guards against streams that end early with a process whose listener outlives its connections
    // for a moment.
    @ParameterizedTest
    @ValueSource(longs = {0, HOLDING_MILLIS})
    void should_not_complete_a_stream_whose_server_stops_listening_right_after_its_end(
        long streamMillis) throws Exception {
      try (KillableStreamServer server = new KillableStreamServer("a", "")) {
        // GIVEN
        gateway.configureEntries(
            TestGateway.route(RequestKind.STREAMING, false), List.of(server.entry()));
        CompletableFuture<String> call = callInBackground();
        await()
            .pollDelay(Duration.ZERO)
            .pollInterval(Duration.ofMillis(1))
            .until(() -> server.streamCount() == 1);
        Thread.sleep(streamMillis);
        // WHEN
        server.endStreams();
        Thread.sleep(20);
        server.kill();
        // THEN
        String received = call.join();
        assertThat(received).contains("id: 1").doesNotContain("(no end)");
        assertThat(TestGateway.isComplete(received)).as(received).isFalse();
      }
    }

    /** A leaving server completes its streams, and may have stopped listening before. */
    @Test
    void should_complete_a_stream_of_a_leaving_server() throws Exception {
      // GIVEN
      UnaryOperator<String> responses =
          head -> {
            gateway.state().addLeaving(one.entry("s").incarnation());
            return endProcess(head);
          };
      one = new StubServer("a", responses, ConnectionAction.CLOSE);
      configure(false, one);
      // WHEN
      String received = gateway.call("POST", "1", "");
      // THEN
      assertThat(bodyOf(received)).isEqualTo(FIRST_EVENT);
      assertThat(TestGateway.isComplete(received)).as(received).isTrue();
    }

    @AfterEach
    void stopServers() throws IOException {
      if (one != null) {
        one.close();
      }
      if (other != null) {
        other.close();
      }
    }

    /** Stops the listener of the server that a request has reached, and sends a first event. */
    private String endProcess(String head) {
      try {
        (StubServer.header(head, "expect").equals("b") ? other : one).close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      return UNFRAMED_STREAM + FIRST_EVENT;
    }
  }

  /** The head of a refusal proves that the request did not run; its body is not needed. */
  @Nested
  class Refusal {
    @ParameterizedTest
    @EnumSource(
        value = ConnectionAction.class,
        names = {"CLOSE", "RESET"})
    void should_report_not_run_if_the_body_of_the_refusal_is_broken_off(ConnectionAction end)
        throws Exception {
      String refusal = "HTTP/1.1 503 No\r\nid: {id}\r\nnot-run: 1\r\nContent-Length: 9\r\n\r\nbusy";
      try (StubServer server = new StubServer("a", refusal, end)) {
        gateway.configure(
            TestGateway.route(RequestKind.NON_IDEMPOTENT, false), Optional.empty(), server);
        assertThat(gateway.call("POST", "1", "")).startsWith("HTTP/1.1 503");
      }
    }
  }

  /** The connection fails while the request is still being written. */
  @Nested
  class FailedWrite {
    @Test
    void should_not_take_a_failed_write_for_the_end_of_the_response() throws Exception {
      // GIVEN
      String unframed = OK + "\r\nhello";
      try (StubServer server =
          new StubServer("a", unframed, ConnectionAction.RESET_WITHOUT_READING_THE_BODY)) {
        gateway.configure(
            TestGateway.route(RequestKind.NON_IDEMPOTENT, false), Optional.empty(), server);
        // WHEN
        String received = gateway.call("POST", "1", "x".repeat(LARGE_BODY_BYTES));
        // THEN
        assertThat(received).startsWith("HTTP/1.1 200").contains("hello");
        assertThat(TestGateway.isComplete(received)).as(received).isFalse();
      }
    }
  }

  private void assertNotCompleted(boolean resumable, String response) throws Exception {
    try (StubServer server = new StubServer("a", response, ConnectionAction.CLOSE)) {
      configure(resumable, server);
      String received = gateway.call("POST", "1", "");
      assertThat(received).startsWith("HTTP/1.1 200").doesNotContain("(no end)");
      assertThat(TestGateway.isComplete(received)).as(received).isFalse();
    }
  }

  private CompletableFuture<String> callInBackground() {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return gateway.call("POST", "1", "");
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        },
        ConnectionThreads::run);
  }

  private void configure(boolean resumable, StubServer... servers) {
    gateway.configure(
        TestGateway.route(RequestKind.STREAMING, resumable), Optional.empty(), servers);
  }

  /** Returns the end of a response head, and a body that is whole by a framing header. */
  private static String framed(String framingHeader, String body) {
    if (framingHeader.isEmpty()) {
      return "\r\n" + body;
    }
    return framingHeader.startsWith("Transfer-Encoding")
        ? "%s\r\n\r\n%s0\r\n\r\n".formatted(framingHeader, chunk(body))
        : "%s\r\n\r\n%s".formatted(framingHeader, body);
  }

  private static String chunk(String text) {
    return "%x\r\n%s\r\n".formatted(text.length(), text);
  }

  /** Returns the body of a response; decodes chunks. */
  private static String bodyOf(String received) {
    String body = received.substring(received.indexOf("\r\n\r\n") + 4);
    return body.replaceAll("(?<=^|\r\n)[0-9a-f]+\r\n", "").replace("\r\n", "");
  }
}
