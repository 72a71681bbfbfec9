package io.nutmegseam.node.connection;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelOutputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A connection to a server, with one request at a time. Confined to the traffic thread. */
public final class ServerConnection extends ChannelInboundHandlerAdapter {
  /** Bounds the memory of a connection; a new one after so many requests is cheap. */
  private static final int MAX_REQUESTS_WITH_ID = 512;

  /**
   * Longest time to read what had arrived before a write failed. It is in the socket's buffer
   * already, so this bounds only connections that fail without an end of their input.
   */
  private static final long MAX_READ_AFTER_FAILED_WRITE_MILLIS = 500;

  /**
   * Longest time to write the rest of a request after its response, for a server that reads on. The
   * request stays in memory until then.
   */
  private static final long MAX_WRITE_AFTER_RESPONSE_MILLIS = 5_000;

  private final String idHeader;
  private final ResponseDecoder decoder;
  private final Consumer<ServerConnection> onIdle;
  private final EventSink events;
  private final CarriedIds carriedIds = new CarriedIds(MAX_REQUESTS_WITH_ID);
  private ChannelHandlerContext channelContext;
  private Channel channel;
  private ResponseListener listener;
  private OutboundRequest request;
  private ChannelFuture writeFuture;
  private boolean outputFailed;
  private boolean writingRest;
  private boolean headReceived;
  private boolean skippingResponse;
  private BodyFraming framing;
  private boolean keepAlive;
  private boolean successful;
  private long idleLimitMillis = Long.MAX_VALUE;
  private int requests;

  /**
   * A request to send to a server.
   *
   * @param method HTTP method
   * @param target path and query
   * @param headers HTTP headers except Content-Length
   * @param body request body; may be empty
   * @param requestId id that the response must echo; empty if responses carry no id
   * @param idOptional whether a response without id is taken for the response to a request with one
   */
  public record OutboundRequest(
      HttpMethod method,
      String target,
      HttpHeaders headers,
      ByteString body,
      String requestId,
      boolean idOptional) {
    private boolean isAnsweredBy(String responseId) {
      return responseId.equals(requestId) || (responseId.isEmpty() && idOptional);
    }

    private boolean isHead() {
      return method.equals(HttpMethod.HEAD);
    }

    private OutboundRequest withoutBody() {
      return new OutboundRequest(method, target, headers, ByteString.EMPTY, requestId, idOptional);
    }
  }

  /**
   * Creates the handler of a connection.
   *
   * @param idHeader header in which servers echo the id of a request
   * @param decoder decodes the responses of the connection
   * @param onIdle receives the connection when it can carry another request
   * @param events the log
   */
  ServerConnection(
      String idHeader,
      ResponseDecoder decoder,
      Consumer<ServerConnection> onIdle,
      EventSink events) {
    this.idHeader = idHeader;
    this.decoder = decoder;
    this.onIdle = onIdle;
    this.events = events;
  }

  /** Returns whether the connection can carry a request now. */
  boolean isUsable() {
    return channel != null && channel.isActive() && listener == null && !decoder.hasUnreadBytes();
  }

  /**
   * Returns whether a request with an id may be sent: the connection has carried none with this id,
   * so that the id of a response tells the request.
   */
  boolean canCarry(String requestId) {
    return requestId.isEmpty() || !carriedIds.contains(requestId);
  }

  /** Returns the id of the connection, and how many requests it has carried, for log lines. */
  public String description() {
    return "connection %s used %d times".formatted(channel.id().asShortText(), requests);
  }

  /** Returns how long the server keeps the connection open while it is idle, in milliseconds. */
  long idleLimitMillis() {
    return idleLimitMillis;
  }

  /** Sends a request and reports its outcome to the listener. */
  public void send(OutboundRequest outbound, ResponseListener responseListener) {
    requests++;
    listener = responseListener;
    // A pooled connection must not keep the body until its next request.
    request = outbound.withoutBody();
    if (!request.requestId().isEmpty()) {
      carriedIds.add(request.requestId());
    }
    headReceived = false;
    boolean withoutResponseBody = request.isHead();
    decoder.onRequest(response -> withoutResponseBody && isExpected(response));
    ByteString body = outbound.body();
    HttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.target());
    head.headers().set(request.headers());
    if (!body.isEmpty() || request.method().equals(HttpMethod.POST)) {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size());
    }
    writeFuture = RequestBodyWriter.write(channelContext, head, body);
  }

  /** Pauses or resumes reading from the server, for a caller that reads slowly. */
  public void setReading(boolean reading) {
    channel.config().setAutoRead(reading || outputFailed);
  }

  /** Returns whether the server has ended the connection in order. */
  boolean hasEndOfInput() {
    return decoder.hasEndOfInput();
  }

  /** Closes the connection without notifying the listener. The server then stops its work. */
  public void abort() {
    listener = null;
    if (channel != null) {
      channel.close();
    }
  }

  /**
   * Resets the connection without notifying the listener. Bytes that have not reached the server
   * are discarded; after a mere close they could still arrive when a cut has ended.
   */
  public void reset() {
    if (channel != null) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    abort();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channelContext = context;
    channel = context.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (listener == null) {
        context.close();
      } else {
        onMessage((HttpObject) message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      fail("connection closed");
      if (!writingRest) {
        context.close();
      }
    } else if (event instanceof ChannelOutputShutdownEvent) {
      onWriteFailed();
    }
  }

  /**
   * Reads what the server sent before a write failed, since that may be a whole response. The read
   * is not paused: the socket would be selected for writing over and over in the meantime.
   */
  private void onWriteFailed() {
    outputFailed = true;
    setReading(true);
    channel
        .eventLoop()
        .schedule(
            () -> {
              fail("connection lost while the request was being written");
              channel.close();
            },
            MAX_READ_AFTER_FAILED_WRITE_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail("connection closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(cause.toString());
    context.close();
  }

  private void onMessage(HttpObject message) {
    if (message.decoderResult().isFailure()) {
      fail("malformed response: " + message.decoderResult().cause());
      channel.close();
      return;
    }
    if (message instanceof HttpResponse head) {
      onHead(head);
    }
    if (message instanceof HttpContent content && listener != null && headReceived) {
      onContent(content);
    }
  }

  private void onHead(HttpResponse head) {
    if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      fail("server switched to a protocol that was not asked for");
      channel.close();
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skippingResponse = true;
      headReceived = true;
      return;
    }
    headReceived = true;
    // A late response to an earlier request may precede the expected one.
    skippingResponse = !isExpected(head);
    if (skippingResponse) {
      events.record(
          EventKind.ANSWER_CROSSED,
          request.requestId(),
          "status %d with id \"%s\", %s".formatted(head.status().code(), id(head), description()));
      return;
    }
    framing = request.isHead() ? BodyFraming.LENGTH : BodyFraming.of(head);
    // A late response to HEAD, or a body that must not follow it, would be misread. Without an id,
    // only the first response on a connection can be attributed.
    keepAlive =
        HttpUtil.isKeepAlive(head)
            && framing != BodyFraming.CONNECTION
            && !request.isHead()
            && request.isAnsweredBy(id(head));
    idleLimitMillis = KeepAliveHeader.idleLimitMillis(head.headers().get("Keep-Alive", ""));
    successful = head.status().codeClass() == HttpStatusClass.SUCCESS;
    listener.onHead(head);
  }

  private boolean isExpected(HttpResponse head) {
    String id = id(head);
    // Nothing can be late on a connection that has carried nothing else.
    return request.isAnsweredBy(id) || (id.isEmpty() && requests == 1);
  }

  private String id(HttpResponse head) {
    return head.headers().get(idHeader, "");
  }

  private void onContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (skippingResponse) {
      skippingResponse = !last;
      headReceived = !last;
      return;
    }
    if (content.content().isReadable()) {
      ByteBuf bytes = content.content();
      decoder.onContent(bytes.readableBytes());
      listener.onContent(bytes);
    }
    if (last && listener != null) {
      if (framing == BodyFraming.CONNECTION && !endsInOrder()) {
        fail(
            writeFuture.isSuccess()
                ? "connection lost before the end of the response"
                : "connection ended before the request was written");
        channel.close();
      } else {
        complete();
      }
    }
  }

  /**
   * Returns whether the connection has ended as after a whole response. A server that closes while
   * the request is being written may have given up, and after a failed write a reset looks like an
   * orderly end, since the operating system reports it only once.
   */
  private boolean endsInOrder() {
    return decoder.hasEndOfInput() && writeFuture.isSuccess();
  }

  private void complete() {
    ResponseListener completed = listener;
    listener = null;
    headReceived = false;
    decoder.onResponseEnd();
    // The caller of this response may have paused reading; the next request needs its response.
    setReading(true);
    if (successful && !writeFuture.isDone()) {
      releaseAfterWrite();
    } else {
      release();
    }
    completed.onComplete(
        new ResponseEnd(framing, writeFuture.isSuccess(), ProcessCheck.NOT_NEEDED));
  }

  /** Writes the rest of a request that a server may still read although it has responded. */
  private void releaseAfterWrite() {
    writingRest = true;
    ScheduledFuture<?> limit =
        channel
            .eventLoop()
            .schedule(
                () -> channel.close(), MAX_WRITE_AFTER_RESPONSE_MILLIS, TimeUnit.MILLISECONDS);
    writeFuture.addListener(
        written -> {
          limit.cancel(false);
          writingRest = false;
          release();
        });
  }

  private void release() {
    boolean reusable =
        keepAlive
            && !carriedIds.isFull()
            && writeFuture.isSuccess()
            && channel.isActive()
            && !decoder.hasEndOfInput()
            && !decoder.hasUnreadBytes();
    if (reusable) {
      onIdle.accept(this);
    } else {
      channel.close();
    }
  }

  private void fail(String reason) {
    ResponseListener failed = listener;
    listener = null;
    if (failed != null) {
      failed.onFailed(true, reason);
    }
  }
}
