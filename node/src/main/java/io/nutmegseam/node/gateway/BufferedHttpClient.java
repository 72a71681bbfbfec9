package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import io.nutmegseam.node.rows.CallException;
import io.nutmegseam.node.settings.HostPort;
import java.io.IOException;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Makes calls whose answers are read whole: to the platform, and orders to servers. */
public final class BufferedHttpClient {
  private static final int MAX_ANSWER_BYTES = 16 << 20;

  /** A store connection that has been idle longer may have been dropped on the way. */
  private static final long MAX_IDLE_MILLIS = 3_000;

  private final EventLoop loop;
  private final ServerConnectionPools pools;
  private final InstantSource clock;

  /**
   * One call.
   *
   * @param address the server
   * @param method its method
   * @param target path and query
   * @param headers its headers, besides host and length
   * @param body its body
   * @param timeoutMillis longest wait for the whole answer, in milliseconds
   * @param notAfterMillis monotonic time after which the call must not be sent any more
   */
  public record Request(
      HostPort address,
      HttpMethod method,
      String target,
      Map<String, String> headers,
      ByteString body,
      long timeoutMillis,
      long notAfterMillis) {
    /** A call that may be sent at any time. */
    public static final long ANY_TIME = Long.MAX_VALUE;
  }

  /**
   * An answer.
   *
   * @param status its status code
   * @param headers its headers
   * @param body its whole body
   */
  public record Response(int status, HttpHeaders headers, ByteString body) {}

  /**
   * Creates the client.
   *
   * @param loop the traffic thread
   * @param pools connections
   * @param clock monotonic clock
   */
  BufferedHttpClient(EventLoop loop, ServerConnectionPools pools, InstantSource clock) {
    this.loop = loop;
    this.pools = pools;
    this.clock = clock;
  }

  /**
   * Makes a call. The result fails with a {@link CallException} if there is no whole answer.
   *
   * @param request the call
   * @return the answer; completed on the traffic thread
   */
  public CompletableFuture<Response> call(Request request) {
    CompletableFuture<Response> result = new CompletableFuture<>();
    loop.execute(() -> new Pending(request, result).start());
    return result;
  }

  /** One call under way. */
  private final class Pending implements ResponseListener {
    private final Request request;
    private final CompletableFuture<Response> result;
    private final ByteString.Output body = ByteString.newOutput();
    private HttpResponse head;
    private ServerConnection connection;
    private ScheduledFuture<?> timer;

    private Pending(Request request, CompletableFuture<Response> result) {
      this.request = request;
      this.result = result;
    }

    private void start() {
      timer = loop.schedule(this::onTimeout, request.timeoutMillis(), TimeUnit.MILLISECONDS);
      pools
          .pool(request.address().host(), request.address().port())
          .acquire(MAX_IDLE_MILLIS, this::onConnected, reason -> onFailed(false, reason));
    }

    private void onConnected(ServerConnection ready) {
      if (result.isDone()) {
        ready.abort();
        return;
      }
      if (clock.millis() > request.notAfterMillis()) {
        ready.abort();
        onFailed(false, "not sent in time");
        return;
      }
      connection = ready;
      HttpHeaders headers = new DefaultHttpHeaders();
      headers.set(HttpHeaderNames.HOST, request.address().toString());
      request.headers().forEach(headers::set);
      connection.send(
          new ServerConnection.OutboundRequest(
              request.method(), request.target(), headers, request.body(), ""),
          this);
    }

    private void onTimeout() {
      if (connection != null) {
        connection.abort();
      }
      onFailed(connection != null, "no answer within " + request.timeoutMillis() + " ms");
    }

    @Override
    public void onHead(HttpResponse response) {
      head = response;
    }

    @Override
    public void onContent(ByteBuf content) {
      if (body.size() + content.readableBytes() > MAX_ANSWER_BYTES) {
        connection.abort();
        onFailed(true, "answer over " + MAX_ANSWER_BYTES + " bytes");
        return;
      }
      try {
        content.readBytes(body, content.readableBytes());
      } catch (IOException e) {
        onFailed(true, e.toString());
      }
    }

    @Override
    public void onComplete() {
      timer.cancel(false);
      result.complete(new Response(head.status().code(), head.headers(), body.toByteString()));
    }

    @Override
    public void onFailed(boolean sent, String reason) {
      timer.cancel(false);
      result.completeExceptionally(
          new CallException(request.method() + " " + request.target() + ": " + reason, sent));
    }
  }
}
