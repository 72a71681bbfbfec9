package io.nutmegseam.node.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.lang.ref.WeakReference;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ServerConnectionTest {
  /**
   * Guards against requests that get no response, since reading from the connection was paused for
   * the caller of an earlier one.
   */
  @Nested
  class PausedAtTheEndOfAResponse {
    private static final String HEAD =
        "HTTP/1.1 200 OK\r\nid: %s\r\nreceipt: r\r\nContent-Length: %d\r\n\r\n";

    private final List<ServerConnection> idle = new ArrayList<>();
    private final ResponseDecoder decoder = new ResponseDecoder();
    private final ServerConnection connection =
        new ServerConnection("id", decoder, idle::add, (kind, subject, detail) -> {});
    private final EmbeddedChannel channel =
        new EmbeddedChannel(new HttpRequestEncoder(), decoder, connection);

    @AfterEach
    void close() {
      channel.finishAndReleaseAll();
    }

    @Test
    void should_read_again_once_the_connection_is_idle() {
      // GIVEN
      connection.send(request("1"), new PausingListener(connection));
      // WHEN
      String response = HEAD.formatted("1", 5) + "hello";
      channel.writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.UTF_8));
      // THEN
      assertThat(idle).containsExactly(connection);
      assertThat(channel.config().isAutoRead()).isTrue();
    }

    private static ServerConnection.OutboundRequest request(String id) {
      return new ServerConnection.OutboundRequest(
          HttpMethod.POST, "/", new DefaultHttpHeaders(), ByteString.EMPTY, id, false);
    }
  }

  /** A server sends an extra response to an earlier request late. */
  @Nested
  class LateResponse {
    private static final String RESPONSE =
        "HTTP/1.1 200 OK\r\nid: %s\r\nreceipt: r\r\nContent-Length: 0\r\n\r\n";
    private static final String WITHOUT_ID =
        "HTTP/1.1 503 Full\r\nnot-run: full\r\nContent-Length: 0\r\n\r\n";

    private final ResponseDecoder decoder = new ResponseDecoder();
    private final ServerConnection connection =
        new ServerConnection("id", decoder, idle -> {}, (kind, subject, detail) -> {});
    private final EmbeddedChannel channel =
        new EmbeddedChannel(new HttpRequestEncoder(), decoder, connection);

    @AfterEach
    void close() {
      channel.finishAndReleaseAll();
    }

    // Guards against calls and orders that get the response to a caller's request.
    @Test
    void should_not_be_taken_for_the_response_to_a_request_without_an_id() {
      // GIVEN
      List<Integer> statuses = new ArrayList<>();
      connection.send(PausedAtTheEndOfAResponse.request(""), new StatusListener(statuses));
      // WHEN
      String late = "HTTP/1.1 200 OK\r\nid: earlier\r\nreceipt: r\r\nContent-Length: 0\r\n\r\n";
      String response = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
      channel.writeInbound(Unpooled.copiedBuffer(late + response, StandardCharsets.UTF_8));
      // THEN
      assertThat(statuses).containsExactly(409);
    }

    // Guards against a copy without an id that is taken for the response to another request.
    @Test
    void should_not_be_taken_for_the_response_to_a_request_with_an_id_if_it_has_none() {
      // GIVEN
      List<Integer> statuses = new ArrayList<>();
      exchange("1", RESPONSE.formatted("1"), new ArrayList<>());
      // WHEN
      exchange("2", WITHOUT_ID + RESPONSE.formatted("2"), statuses);
      // THEN
      assertThat(statuses).containsExactly(200);
    }

    // Guards against servers without ids that serve nobody: nothing is late on a new connection.
    @Test
    void should_be_expected_without_an_id_on_a_connection_that_has_carried_nothing_else() {
      // GIVEN
      List<Integer> statuses = new ArrayList<>();
      // WHEN
      exchange("1", WITHOUT_ID, statuses);
      // THEN
      assertThat(statuses).containsExactly(503);
      assertThat(channel.isOpen()).isFalse();
    }

    private void exchange(String id, String responses, List<Integer> statuses) {
      connection.send(PausedAtTheEndOfAResponse.request(id), new StatusListener(statuses));
      channel.writeInbound(Unpooled.copiedBuffer(responses, StandardCharsets.UTF_8));
    }
  }

  /** Guards against bodies of earlier requests that fill the heap. */
  @Nested
  class IdleConnection {
    private static final String RESPONSE =
        "HTTP/1.1 200 OK\r\nid: 1\r\nreceipt: r\r\nContent-Length: 0\r\n\r\n";

    private final List<ServerConnection> idle = new ArrayList<>();
    private final ResponseDecoder decoder = new ResponseDecoder();
    private final ServerConnection connection =
        new ServerConnection("id", decoder, idle::add, (kind, subject, detail) -> {});
    private final EmbeddedChannel channel =
        new EmbeddedChannel(new HttpRequestEncoder(), decoder, connection);

    @ParameterizedTest
    @ValueSource(ints = {1_000, 1_000_000})
    void should_not_keep_the_body_of_its_last_request(int bodyBytes) {
      // GIVEN
      WeakReference<ByteString> body = send(ByteString.copyFrom(new byte[bodyBytes]));
      // WHEN
      channel.writeInbound(Unpooled.copiedBuffer(RESPONSE, StandardCharsets.UTF_8));
      // THEN
      assertThat(idle).containsExactly(connection);
      await()
          .until(
              () -> {
                System.gc();
                return body.get() == null;
              });
    }

    /** Sends a request and returns a reference to its body when all of it has been written. */
    private WeakReference<ByteString> send(ByteString body) {
      connection.send(
          new ServerConnection.OutboundRequest(
              HttpMethod.POST, "/", new DefaultHttpHeaders(), body, "1", false),
          new StatusListener(new ArrayList<>()));
      int writtenBytes = 0;
      for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
        writtenBytes += out.readableBytes();
        out.release();
      }
      assertThat(writtenBytes).isGreaterThan(body.size());
      return new WeakReference<>(body);
    }
  }

  /** A listener that keeps the status of its response. */
  private record StatusListener(List<Integer> statuses) implements ResponseListener {
    @Override
    public void onHead(HttpResponse head) {
      statuses.add(head.status().code());
    }

    @Override
    public void onContent(ByteBuf content) {}

    @Override
    public void onComplete(ResponseEnd end) {}

    @Override
    public void onFailed(boolean sent, String reason) {}
  }

  /** A listener whose caller reads slowly. */
  private record PausingListener(ServerConnection connection) implements ResponseListener {
    @Override
    public void onHead(HttpResponse head) {}

    @Override
    public void onContent(ByteBuf content) {
      connection.setReading(false);
    }

    @Override
    public void onComplete(ResponseEnd end) {}

    @Override
    public void onFailed(boolean sent, String reason) {}
  }
}
