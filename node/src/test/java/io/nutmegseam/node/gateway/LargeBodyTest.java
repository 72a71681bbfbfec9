package io.nutmegseam.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.core.gateway.ServiceShare;
import io.nutmegseam.node.gateway.StubServer.ConnectionAction;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against bodies that use up the direct memory: the next allocation would stop the traffic
 * thread, and with it all requests.
 */
class LargeBodyTest {
  private static final int BODY_BYTES = 4_000_000;
  private static final int UPLOADS = 10;

  /** Uploads that have memory together. */
  private static final int UPLOADS_AT_A_TIME = 3;

  /** Larger than the send and receive buffers of a connection together. */
  private static final int UNREAD_BODY_BYTES = 32 << 20;

  /** Far less than one body. */
  private static final long MAX_DIRECT_BYTES = 1 << 20;

  private static final String RESPONSE =
      "HTTP/1.1 200 OK\r\nid: {id}\r\nreceipt: r\r\nContent-Length: 2\r\n\r\nok";

  private final List<Socket> uploads = new ArrayList<>();
  private TestGateway gateway;
  private StubServer server;

  @BeforeEach
  void start() throws IOException {
    gateway = new TestGateway();
    server = new StubServer("a", RESPONSE, ConnectionAction.KEEP);
    gateway.configure(
        TestGateway.route(RequestKind.NON_IDEMPOTENT, false), Optional.empty(), server);
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket upload : uploads) {
      upload.close();
    }
    server.close();
    gateway.close();
  }

  @Nested
  class Uploads {
    @Test
    void should_use_no_direct_memory_while_they_arrive() throws Exception {
      // GIVEN
      long beforeBytes = directBytes();
      // WHEN
      for (int i = 0; i < UPLOADS; i++) {
        Socket upload = begin("u" + i, contentLength(BODY_BYTES));
        ConnectionThreads.run(() -> sendBody(upload, BODY_BYTES - 1));
      }
      Thread.sleep(500);
      // THEN
      assertThat(directBytes() - beforeBytes).isLessThan(MAX_DIRECT_BYTES);
    }

    @Test
    void should_wait_for_each_other_and_not_delay_small_requests() throws Exception {
      // GIVEN
      for (int i = 0; i < UPLOADS; i++) {
        begin("u" + i, contentLength(BODY_BYTES));
      }
      await().until(() -> gateway.context().bodies().waitingCount() > 0);
      assertThat(gateway.context().bodies().reservedBytes())
          .isLessThanOrEqualTo(TestGateway.BODY_MEMORY_BYTES);
      // WHEN
      String received = gateway.call("POST", "small", "");
      // THEN
      assertThat(received).startsWith("HTTP/1.1 200");
      // WHEN
      for (Socket upload : List.copyOf(uploads)) {
        ConnectionThreads.run(() -> sendBody(upload, BODY_BYTES));
      }
      // THEN
      for (Socket upload : uploads) {
        assertThat(statusOf(upload)).isEqualTo("HTTP/1.1 200 OK");
      }
      assertThat(server.requestHeads()).hasSize(UPLOADS + 1);
      await().until(() -> gateway.context().bodies().reservedBytes() == 0);
    }

    @Test
    void should_give_their_room_back_when_their_callers_leave() throws Exception {
      // GIVEN
      for (int i = 0; i < UPLOADS; i++) {
        begin("u" + i, contentLength(BODY_BYTES));
      }
      await().until(() -> gateway.context().bodies().waitingCount() > 0);
      // WHEN
      for (Socket upload : uploads) {
        upload.close();
      }
      // THEN
      await().until(() -> gateway.context().bodies().reservedBytes() == 0);
      assertThat(gateway.context().bodies().waitingCount()).isZero();
    }
  }

  @Nested
  class Waiting {
    @Test
    void should_end_when_its_caller_no_longer_waits() throws Exception {
      // GIVEN
      for (int i = 0; i < UPLOADS; i++) {
        begin("u" + i, contentLength(BODY_BYTES));
      }
      await().until(() -> gateway.context().bodies().waitingCount() > 0);
      // WHEN
      Socket impatient = begin("impatient", contentLength(BODY_BYTES) + "left: 200\r\n");
      // THEN
      assertThat(statusOf(impatient)).startsWith("HTTP/1.1 503");
    }

    /**
     * Guards against callers that begin bodies, send nothing more and keep the memory of others.
     */
    @Test
    void should_end_when_the_callers_before_send_nothing_for_an_idle_time() throws Exception {
      // GIVEN
      gateway.configure(
          new Route(
              "r",
              "h",
              "/p/",
              RequestKind.NON_IDEMPOTENT,
              false,
              9_000,
              300,
              9_000,
              0,
              2,
              List.of(new ServiceShare("s", 1))),
          Optional.empty(),
          server);
      for (int i = 0; i < UPLOADS_AT_A_TIME; i++) {
        begin("u" + i, contentLength(BODY_BYTES));
      }
      await()
          .until(
              () ->
                  gateway.context().bodies().reservedBytes()
                      == (long) UPLOADS_AT_A_TIME * BODY_BYTES);
      // WHEN
      Socket last = begin("last", contentLength(BODY_BYTES));
      ConnectionThreads.run(() -> sendBody(last, BODY_BYTES));
      // THEN
      assertThat(statusOf(last)).isEqualTo("HTTP/1.1 200 OK");
    }

    @Test
    void should_be_refused_at_once_if_the_body_is_larger_than_the_limit() throws Exception {
      Socket oversized = begin("oversized", contentLength(99_000_000));
      assertThat(statusOf(oversized)).startsWith("HTTP/1.1 413");
    }
  }

  @Nested
  class FromAnotherNode {
    /** Guards against nodes that take a request for lost which another one has not received. */
    @Test
    void should_be_told_that_the_request_did_not_run() throws Exception {
      // GIVEN
      EmbeddedChannel channel =
          new EmbeddedChannel(
              new HttpRequestDecoder(),
              new HttpResponseEncoder(),
              new CallerConnection(gateway.context(), change -> {}, true));
      // WHEN
      channel.writeInbound(
          Unpooled.copiedBuffer(head("r", contentLength(99_000_000)), StandardCharsets.US_ASCII));
      // THEN
      ByteBuf response = channel.readOutbound();
      assertThat(response.toString(StandardCharsets.US_ASCII))
          .startsWith("HTTP/1.1 413")
          .contains("\r\nid: r\r\n", "\r\nnot-run: body-too-large\r\n");
      response.release();
      channel.finishAndReleaseAll();
    }
  }

  @Nested
  class Sending {
    @Test
    void should_use_no_direct_memory_while_the_server_does_not_read() throws Exception {
      try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
        // GIVEN
        gateway.configureEntries(
            TestGateway.route(RequestKind.NON_IDEMPOTENT, false), List.of(entry(listener)));
        long beforeBytes = directBytes();
        // WHEN
        Socket upload = begin("u1", contentLength(UNREAD_BODY_BYTES));
        sendBody(upload, UNREAD_BODY_BYTES);
        // THEN
        try (Socket accepted = listener.accept()) {
          assertThat(accepted.getInputStream().read()).isEqualTo('P');
          Thread.sleep(200);
          assertThat(directBytes() - beforeBytes).isLessThan(MAX_DIRECT_BYTES);
        }
      }
    }

    private ServerEntry entry(ServerSocket listener) {
      return new ServerEntry(
          new Incarnation("slow", 1),
          "s",
          "v1",
          "127.0.0.1",
          listener.getLocalPort(),
          "dc",
          4,
          false,
          new Inventory(0, false, Map.of(), Set.of(), Set.of()));
    }
  }

  private static long directBytes() {
    return PooledByteBufAllocator.DEFAULT.pinnedDirectMemory();
  }

  private Socket begin(String id, String headers) throws IOException {
    Socket socket = gateway.connect();
    socket.setSoTimeout(10_000);
    uploads.add(socket);
    socket.getOutputStream().write(head(id, headers).getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static String head(String id, String headers) {
    return "POST /p/x HTTP/1.1\r\nHost: h\r\nid: %s\r\n%s\r\n".formatted(id, headers);
  }

  private static String contentLength(int bytes) {
    return "Content-Length: %d\r\n".formatted(bytes);
  }

  private static void sendBody(Socket socket, int bytes) {
    try {
      socket.getOutputStream().write(new byte[bytes]);
    } catch (IOException e) {
      // The connection is closed at the end of the test.
    }
  }

  private static String statusOf(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0 && next != '\r'; next = in.read()) {
      line.append((char) next);
    }
    return line.toString();
  }
}
