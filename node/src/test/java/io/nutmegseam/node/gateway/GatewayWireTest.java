package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.EngineSpec;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.GatewayLimits;
import io.nutmegseam.core.gateway.ModelSpec;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.core.gateway.ServiceShare;
import io.nutmegseam.core.gateway.ServiceSpec;
import io.nutmegseam.node.control.MonotonicClock;
import io.nutmegseam.node.gateway.StubServer.ConnectionAction;
import io.nutmegseam.node.settings.HostPort;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks on the wire what the gateway sends to callers and to servers if servers are faulty. */
class GatewayWireTest {
  static final String ID_HEADER = "id";
  private static final String OK = "HTTP/1.1 200 OK\r\nid: {id}\r\nreceipt: r\r\n";
  private static final String COMPLETE = OK + "Content-Length: 5\r\n\r\nhello";
  private static final GatewayHeaders HEADERS =
      new GatewayHeaders(
          ID_HEADER,
          "left",
          "model",
          "tokens",
          "prompt",
          "last",
          "expect",
          "not-run",
          "receipt",
          "load",
          "priority",
          Set.of("expect", "reserved"));

  private final Clock clock = new MonotonicClock();
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final GatewayState state = new GatewayState();
  private final ModelWaitQueue waitQueue = new ModelWaitQueue(() -> {});
  private int port;

  @BeforeEach
  void startGateway() throws IOException {
    EventLoop loop = group.next();
    ServerLoads loads = new ServerLoads(clock);
    TrafficContext context =
        new TrafficContext(
            loop,
            clock,
            HEADERS,
            state,
            new ServerConnectionPools(loop, ID_HEADER, clock),
            new ServerChooser("dc", loads, new Random(1), clock),
            loads,
            new RetryLimiter(0.2, 50, 10_000, 1, clock),
            waitQueue,
            new ArrivalCounts(),
            (kind, subject, detail) -> {},
            new GatewayMetrics());
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = probe.getLocalPort();
    }
    new GatewayServer(group, context).listen(new HostPort("127.0.0.1", port));
  }

  @AfterEach
  void stopGateway() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  @Nested
  class Responses {
    @ParameterizedTest
    @CsvSource({
      "Content-Length, KEEP, Content-Length: 5||hello",
      "chunked, KEEP, Transfer-Encoding: chunked||5|hello|0||",
      "end of the connection, CLOSE, X: y||hello"
    })
    void should_forward_a_complete_response(
        String name, ConnectionAction afterResponse, String headersAndBody) throws Exception {
      try (StubServer server = new StubServer("a", OK + lines(headersAndBody), afterResponse)) {
        configure(RequestKind.NON_IDEMPOTENT, server);
        String received = call("POST", "1");
        assertThat(received).as(name).startsWith("HTTP/1.1 200").contains("receipt: r", "hello");
        assertThat(isComplete(received)).as(received).isTrue();
      }
    }

    @ParameterizedTest
    @CsvSource({
      "short body, CLOSE, Content-Length: 9||hello",
      "missing last chunk, CLOSE, Transfer-Encoding: chunked||5|hello|",
      "reset without a length, RESET, X: y||hello"
    })
    void should_not_make_a_truncated_response_look_complete(
        String name, ConnectionAction afterResponse, String headersAndBody) throws Exception {
      try (StubServer server = new StubServer("a", OK + lines(headersAndBody), afterResponse)) {
        configure(RequestKind.NON_IDEMPOTENT, server);
        String received = call("POST", "1");
        assertThat(isComplete(received) && received.startsWith("HTTP/1.1 200"))
            .as(name + received)
            .isFalse();
      }
    }

    @Test
    void should_reject_a_success_response_without_a_receipt() throws Exception {
      String withoutReceipt = "HTTP/1.1 200 OK\r\nid: {id}\r\nContent-Length: 5\r\n\r\nhello";
      try (StubServer server = new StubServer("a", withoutReceipt, ConnectionAction.KEEP)) {
        configure(RequestKind.NON_IDEMPOTENT, server);
        assertThat(call("POST", "1")).startsWith("HTTP/1.1 502");
      }
    }

    @Test
    void should_discard_a_response_to_another_request() throws Exception {
      String responses = COMPLETE.replace("{id}", "other").replace("hello", "wrong") + COMPLETE;
      try (StubServer server = new StubServer("a", responses, ConnectionAction.KEEP)) {
        configure(RequestKind.NON_IDEMPOTENT, server);
        assertThat(call("POST", "1")).contains("hello").doesNotContain("wrong");
      }
    }

    @Test
    void should_not_read_bytes_after_a_response_as_the_next_response() throws Exception {
      try (StubServer server = new StubServer("a", COMPLETE + "junk", ConnectionAction.KEEP)) {
        configure(RequestKind.NON_IDEMPOTENT, server);
        call("POST", "1");
        assertThat(call("POST", "2")).startsWith("HTTP/1.1 200").contains("id: 2", "hello");
      }
    }
  }

  @Nested
  class RetrySafety {
    @Test
    void should_report_not_run_only_if_the_server_proves_it() throws Exception {
      String notRun = "HTTP/1.1 503 No\r\nid: {id}\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
      try (StubServer server = new StubServer("a", notRun, ConnectionAction.KEEP)) {
        configure(RequestKind.NON_IDEMPOTENT, server);
        String received = call("POST", "1");
        assertThat(received).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after");
        assertThat(received).doesNotContain("receipt");
      }
    }

    @Test
    void should_not_retry_a_non_idempotent_request_after_a_reset() throws Exception {
      try (StubServer one = new StubServer("a", "", ConnectionAction.RESET);
          StubServer other = new StubServer("b", "", ConnectionAction.RESET)) {
        configure(RequestKind.NON_IDEMPOTENT, one, other);
        assertThat(call("POST", "1")).startsWith("HTTP/1.1 502");
        assertThat(one.requestHeads().size() + other.requestHeads().size()).isEqualTo(1);
      }
    }

    @Test
    void should_retry_an_idempotent_request_on_another_server_after_a_reset() throws Exception {
      try (StubServer failing = new StubServer("a", "", ConnectionAction.RESET);
          StubServer healthy = new StubServer("b", COMPLETE, ConnectionAction.KEEP)) {
        configure(RequestKind.IDEMPOTENT, failing, healthy);
        for (int i = 0; i < 8; i++) {
          assertThat(call("GET", "r" + i)).startsWith("HTTP/1.1 200");
        }
        assertThat(failing.requestHeads()).isNotEmpty();
      }
    }

    /** All servers, or the only one, fail a request that may be retried. */
    @Test
    void should_forward_a_server_error_when_no_other_server_is_left() throws Exception {
      // GIVEN
      String error =
          "HTTP/1.1 500 Broken\r\nid: {id}\r\nreceipt: r\r\nContent-Length: 4\r\n\r\noops";
      try (StubServer one = new StubServer("a", error, ConnectionAction.KEEP);
          StubServer other = new StubServer("b", error, ConnectionAction.KEEP)) {
        configure(RequestKind.IDEMPOTENT, one, other);
        // WHEN
        String received = call("GET", "1");
        // THEN
        assertThat(received).startsWith("HTTP/1.1 500").contains("receipt: r").endsWith("oops");
        assertThat(one.requestHeads().size() + other.requestHeads().size()).isEqualTo(2);
      }
    }

    @Test
    void should_refuse_immediately_if_no_server_listens() throws Exception {
      StubServer closed = new StubServer("a", COMPLETE, ConnectionAction.KEEP);
      closed.close();
      configure(RequestKind.NON_IDEMPOTENT, closed);
      assertThat(call("POST", "1")).startsWith("HTTP/1.1 503");
    }
  }

  /**
   * Guards against lost requests when a node stops while requests wait for a model to be loaded.
   */
  @Nested
  class StoppingNode {
    /** A request can arrive on a persistent connection at the moment when the node exits. */
    @Test
    void should_forward_no_request_once_the_node_is_closed() throws Exception {
      try (StubServer server = new StubServer("a", COMPLETE, ConnectionAction.KEEP)) {
        // GIVEN
        configure(RequestKind.NON_IDEMPOTENT, server);
        state.setStopping();
        state.setClosed();
        // WHEN
        String received = call("POST", "1");
        // THEN
        assertThat(received).isEmpty();
        assertThat(server.requestHeads()).isEmpty();
      }
    }

    @Test
    void should_refuse_a_request_that_waits_for_a_model() throws Exception {
      // GIVEN
      ModelSpec model = new ModelSpec("m", 1, 6_000, 800, 400, 0, 0);
      EngineSpec engine = new EngineSpec(4, 1_000, 10, 8, 1, Map.of("m", model));
      configure(RequestKind.STREAMING, Optional.of(engine));
      CompletableFuture<String> waiting =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return exchange(
                      lines("POST /p/x HTTP/1.1|Host: h|id: 1|model: m|Connection: close||"));
                } catch (IOException e) {
                  throw new UncheckedIOException(e);
                }
              });
      await().until(() -> onLoop(() -> waitQueue.waitersByModel().size()) == 1);
      // WHEN
      onLoop(
          () -> {
            waitQueue.refuseAll();
            return 0;
          });
      // THEN
      assertThat(waiting.get(5, TimeUnit.SECONDS))
          .startsWith("HTTP/1.1 503")
          .containsIgnoringCase("retry-after");
    }

    private int onLoop(Callable<Integer> task) throws Exception {
      return group.next().submit(task).get(5, TimeUnit.SECONDS);
    }
  }

  @Nested
  class Requests {
    @Test
    void should_send_the_expected_server_and_the_remaining_time() throws Exception {
      try (StubServer server = new StubServer("a", COMPLETE, ConnectionAction.KEEP)) {
        configure(RequestKind.NON_IDEMPOTENT, server);
        call("POST", "1");
        String head = server.requestHeads().get(0);
        assertThat(StubServer.header(head, "expect")).isEqualTo("a");
        assertThat(Long.parseLong(StubServer.header(head, "left"))).isBetween(1L, 1_000L);
        assertThat(head).startsWith("POST /p/x?q=1 HTTP/1.1").doesNotContain("reserved");
      }
    }

    @ParameterizedTest
    @CsvSource({
      "two Content-Length headers, Content-Length: 1|Content-Length: 2",
      "Content-Length and chunked, Content-Length: 1|Transfer-Encoding: chunked",
      "unknown transfer coding, Transfer-Encoding: gzip"
    })
    void should_refuse_a_request_with_an_ambiguous_length(String name, String headers)
        throws Exception {
      try (StubServer server = new StubServer("a", COMPLETE, ConnectionAction.KEEP)) {
        configure(RequestKind.NON_IDEMPOTENT, server);
        String request =
            "POST /p/x HTTP/1.1\r\nHost: h\r\nid: 1\r\n" + lines(headers) + "\r\n\r\nx";
        assertThat(exchange(request)).as(name).startsWith("HTTP/1.1 400");
        assertThat(server.requestHeads()).isEmpty();
      }
    }

    @Test
    void should_respond_with_404_without_a_route_and_503_without_a_configuration()
        throws Exception {
      assertThat(call("POST", "1")).startsWith("HTTP/1.1 503");
      configure(RequestKind.NON_IDEMPOTENT);
      assertThat(exchange("GET /other HTTP/1.1\r\nHost: h\r\nid: 1\r\n\r\n"))
          .startsWith("HTTP/1.1 404");
    }
  }

  private void configure(RequestKind kind, StubServer... servers) {
    configure(kind, Optional.empty(), servers);
  }

  private void configure(RequestKind kind, Optional<EngineSpec> engine, StubServer... servers) {
    Route route =
        new Route(
            "r",
            "h",
            "/p/",
            kind,
            false,
            1_000,
            300,
            1_000,
            0,
            2,
            List.of(new ServiceShare("s", 1)));
    state.setConfig(
        new GatewayConfig(
            1,
            List.of(route),
            Map.of("s", new ServiceSpec("s", 10, engine)),
            new GatewayLimits(8_192, 8_192, 1_000, 5_000)));
    Map<String, ServerEntry> entries = new HashMap<>();
    for (StubServer server : servers) {
      ServerEntry entry = server.entry("s");
      entries.put(entry.incarnation().id(), entry);
    }
    state.setFleet(new Fleet(entries));
  }

  private String call(String method, String id) throws IOException {
    return exchange(
        method
            + " /p/x?q=1 HTTP/1.1\r\nHost: h\r\nreserved: 1\r\nConnection: close\r\nid: "
            + id
            + "\r\n\r\n");
  }

  /**
   * Returns what the gateway sends until it closes the connection. For a request without
   * "Connection: close", reads until the end of the response head only.
   */
  private String exchange(String request) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(3_000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      StringBuilder received = new StringBuilder();
      byte[] buffer = new byte[4_096];
      try {
        int read = socket.getInputStream().read(buffer);
        while (read >= 0) {
          received.append(new String(buffer, 0, read, StandardCharsets.UTF_8));
          if (!request.contains("Connection: close") && received.toString().contains("\r\n\r\n")) {
            break;
          }
          read = socket.getInputStream().read(buffer);
        }
      } catch (SocketTimeoutException e) {
        received.append("(no end)");
      }
      return received.toString();
    }
  }

  private static boolean isComplete(String received) {
    int body = received.indexOf("\r\n\r\n") + 4;
    String length = StubServer.header(received.substring(0, body), "content-length");
    return length.isEmpty()
        ? received.endsWith("0\r\n\r\n")
        : received.length() - body == Integer.parseInt(length);
  }

  private static String lines(String text) {
    return text.replace("|", "\r\n");
  }
}
