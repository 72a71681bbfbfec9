package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.node.connection.ResponseEnd;
import io.nutmegseam.node.connection.ResponseListener;
import io.nutmegseam.node.connection.ServerConnection;
import io.nutmegseam.node.connection.ServerConnectionPool;
import io.nutmegseam.node.connection.ServerConnectionPools;
import io.nutmegseam.node.rows.CallException;
import io.nutmegseam.node.settings.HostPort;
import java.io.IOException;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * HTTP client for calls to the platform and orders to servers. Responses are buffered completely.
 */
public final class BufferedHttpClient {
  private static final int MAX_RESPONSE_BYTES = 16 << 20;

  /**
   * A connection to the store that has been idle for longer may have been dropped by the network.
   */
  private static final long MAX_IDLE_MILLIS = 3_000;

  private final EventLoop loop;
  private final ServerConnectionPools pools;
  private final InstantSource clock;
  private final ServerCallGuard guard;

  /** Decides on calls to servers and observes their responses, on the traffic thread. */
  public interface ServerCallGuard {
    /** Returns whether a server may be called now. */
    boolean mayCall(Incarnation server);

    /** Handles the status and the headers of a response. */
    void onResponse(Incarnation server, HttpResponseStatus status, HttpHeaders headers);

    /** Counts the bytes of the bodies of a call and of its response. */
    default void onTransferred(Incarnation server, HttpMethod method, long bytes) {}
  }

  /**
   * A call.
   *
   * @param address address of the server
   * @param method HTTP method
   * @param target path and query
   * @param headers HTTP headers except Host and Content-Length
   * @param body request body; may be empty
   * @param timeoutMillis longest wait for the complete response, in milliseconds
   * @param notAfterMillis monotonic time after which the call must not be sent
   */
  public record Request(
      HostPort address,
      HttpMethod method,
      String target,
      Map<String, String> headers,
      ByteString body,
      long timeoutMillis,
      long notAfterMillis) {
    /** Value of {@code notAfterMillis} for a call that may be sent at any time. */
    public static final long ANY_TIME = Long.MAX_VALUE;
  }

  /**
   * A complete response.
   *
   * @param status HTTP status code
   * @param headers HTTP headers
   * @param body complete response body
   */
  public record Response(int status, HttpHeaders headers, ByteString body) {}

  /**
   * Creates the client.
   *
   * @param loop the traffic thread
   * @param pools connection pools
   * @param clock monotonic clock
   * @param guard decides on calls to servers and observes their responses
   */
  BufferedHttpClient(
      EventLoop loop, ServerConnectionPools pools, InstantSource clock, ServerCallGuard guard) {
    this.loop = loop;
    this.pools = pools;
    this.clock = clock;
    this.guard = guard;
  }

  /**
   * Makes a call to a server, on a connection of its own: its response has no id, and a server may
   * send a response to an earlier request or call on a connection once more.
   *
   * @param server the server
   * @param request the call
   * @return as {@link #call(Request)}; the call fails without being sent while the server has asked
   *     for no calls
   */
  public CompletableFuture<Response> call(Incarnation server, Request request) {
    CompletableFuture<Response> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          if (guard.mayCall(server)) {
            new PendingCall(request, result).startUnshared();
          } else {
            String text = request.method() + " " + request.target() + ": " + server + " is paused";
            result.completeExceptionally(new CallException(text, false));
          }
        });
    return result.whenComplete(
        (response, e) -> {
          if (e == null) {
            HttpResponseStatus status = HttpResponseStatus.valueOf(response.status());
            guard.onResponse(server, status, response.headers());
            long bytes = (long) request.body().size() + response.body().size();
            guard.onTransferred(server, request.method(), bytes);
          }
        });
  }

  /**
   * Makes a call.
   *
   * @param request the call
   * @return a future that is completed on the traffic thread, with the response or with a {@link
   *     CallException} if there is no complete response
   */
  public CompletableFuture<Response> call(Request request) {
    CompletableFuture<Response> result = new CompletableFuture<>();
    loop.execute(() -> new PendingCall(request, result).start());
    return result;
  }

  /** A call in flight. */
  private final class PendingCall implements ResponseListener {
    private final Request request;
    private final CompletableFuture<Response> result;
    private final ByteString.Output body = ByteString.newOutput();
    private HttpResponse head;
    private ServerConnection connection;
    private ScheduledFuture<?> timer;

    private PendingCall(Request request, CompletableFuture<Response> result) {
      this.request = request;
      this.result = result;
    }

    private void start() {
      startTimer();
      pool()
          .acquire(
              "", MAX_IDLE_MILLIS, this::onConnected, failure -> onFailed(false, failure.reason()));
    }

    private void startUnshared() {
      startTimer();
      pool().acquireUnshared(this::onConnected, failure -> onFailed(false, failure.reason()));
    }

    private void startTimer() {
      timer = loop.schedule(this::onTimeout, request.timeoutMillis(), TimeUnit.MILLISECONDS);
    }

    private ServerConnectionPool pool() {
      return pools.pool(request.address().host(), request.address().port());
    }

    private void onConnected(ServerConnection acquired) {
      if (result.isDone()) {
        acquired.abort();
        return;
      }
      if (clock.millis() > request.notAfterMillis()) {
        acquired.abort();
        onFailed(false, "not sent, since its latest send time has passed");
        return;
      }
      connection = acquired;
      HttpHeaders headers = new DefaultHttpHeaders();
      headers.set(HttpHeaderNames.HOST, request.address().toString());
      request.headers().forEach(headers::set);
      connection.send(
          new ServerConnection.OutboundRequest(
              request.method(), request.target(), headers, request.body(), "", false),
          this);
    }

    private void onTimeout() {
      if (connection != null) {
        connection.reset();
      }
      onFailed(connection != null, "no response within " + request.timeoutMillis() + " ms");
    }

    @Override
    public void onHead(HttpResponse response) {
      head = response;
    }

    @Override
    public void onContent(ByteBuf content) {
      if (body.size() + content.readableBytes() > MAX_RESPONSE_BYTES) {
        connection.abort();
        onFailed(true, "response larger than " + MAX_RESPONSE_BYTES + " bytes");
        return;
      }
      try {
        content.readBytes(body, content.readableBytes());
      } catch (IOException e) {
        onFailed(true, e.toString());
      }
    }

    @Override
    public void onComplete(ResponseEnd end) {
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
