package io.nutmegseam.node.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import io.nutmegseam.core.error.RanStatus;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.node.body.BodyLengths;
import io.nutmegseam.node.body.BodyMemory;
import io.nutmegseam.node.body.BodyReceiver;
import io.nutmegseam.node.caller.RequestErrors;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import java.util.function.IntConsumer;

/**
 * Handles the connection of a caller. Pipelined requests are processed one after the other.
 * Confined to the traffic thread.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements ResponseWriter {
  private static final int MAX_PIPELINED = 8;
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final TrafficContext context;
  private final IntConsumer inFlightChange;
  private final boolean fromPeer;
  private final Deque<ReceivedRequest> pipelined = new ArrayDeque<>();
  private ChannelHandlerContext channelContext;
  private HttpRequest requestHead;
  private BodyReceiver body;
  private BodyMemory.Reservation bodyInUse;
  private boolean closing;
  private Optional<RequestException> rejection = Optional.empty();
  private String rejectedId = "";
  private Exchange exchange;
  private boolean keepAlive;
  private boolean responseHasBody;
  private String requestId = "";
  private int unsentResponses;
  private boolean flushScheduled;

  /** A complete request with the memory of its body. */
  private record ReceivedRequest(InboundRequest request, BodyMemory.Reservation body) {}

  /**
   * Creates the handler of a connection.
   *
   * @param context dependencies shared by all requests
   * @param inFlightChange receives 1 when a request begins and -1 when it ends; the same for a
   *     response that is being sent, which can take longer than the request
   * @param fromPeer whether the requests come from another node for its callers
   */
  CallerConnection(TrafficContext context, IntConsumer inFlightChange, boolean fromPeer) {
    this.context = context;
    this.inFlightChange = inFlightChange;
    this.fromPeer = fromPeer;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    channelContext = added;
  }

  /** Handles that this node no longer reaches any server. */
  void onCutOff() {
    if (exchange != null) {
      exchange.onCutOff();
    }
  }

  /** Closes the connection if no request is in flight or being received, and all is sent. */
  void closeIfIdle() {
    if (unsentResponses == 0) {
      closeIfWithoutRequest();
    }
  }

  private void closeIfWithoutRequest() {
    boolean rejectionDue = rejection.isPresent() && !closing;
    if (exchange == null && requestHead == null && pipelined.isEmpty() && !rejectionDue) {
      channelContext.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (!closing && rejection.isEmpty()) {
        onMessage((HttpObject) message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    closing = true;
    pipelined.forEach(received -> received.body().release());
    pipelined.clear();
    discardBody();
    if (exchange != null) {
      exchange.cancel();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (exchange != null) {
      exchange.onWritabilityChanged();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent idle && idle.isFirst()) {
      closeIfIdle();
    } else if (event instanceof IdleStateEvent) {
      // A caller that has read nothing for two idle times gets no more of its response.
      closeIfWithoutRequest();
    }
    boolean responding = exchange != null || !pipelined.isEmpty() || unsentResponses > 0;
    if (event instanceof IdleStateEvent && body != null && !responding) {
      // The memory of a body that does not go on is needed for others.
      body.closeIfStalled(context.gatewayLimits().idleTimeoutMillis());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // The connection to the caller failed; closing the channel cancels the request in flight.
    ctx.close();
  }

  private void onMessage(HttpObject message) {
    if (message.decoderResult().isFailure()) {
      // The message of the cause may quote a header with a key.
      String cause = message.decoderResult().cause().getClass().getSimpleName();
      reject(GatewayErrors.malformed("unreadable HTTP, " + cause));
      return;
    }
    if (message instanceof HttpRequest request) {
      onHead(request);
    }
    if (message instanceof HttpContent content && requestHead != null) {
      onContent(content);
    }
  }

  private void onHead(HttpRequest request) {
    if (BodyLengths.areAmbiguous(request.headers())) {
      reject(GatewayErrors.malformed("ambiguous Content-Length or Transfer-Encoding"));
      return;
    }
    Optional<String> target = RequestTargets.decode(request.uri());
    if (target.isEmpty()) {
      reject(GatewayErrors.malformed("the request target is not valid UTF-8"));
      return;
    }
    requestHead = request.setUri(target.get());
    int maxBytes = context.gatewayLimits().maxBodyBytes();
    if (BodyLengths.of(request).orElse(0) > maxBytes) {
      reject(GatewayErrors.bodyTooLarge(maxBytes));
      return;
    }
    body =
        new BodyReceiver(
            request,
            context.bodies(),
            new BodyReceiver.Limits(maxBytes, () -> context.bodyWaitMillis(request)),
            channelContext,
            context.clock(),
            () -> reject(GatewayErrors.noBodyMemory(RetryAfter.jitteredMillis())));
  }

  private void onContent(HttpContent content) {
    if (!body.add(content.content())) {
      reject(GatewayErrors.bodyTooLarge(context.gatewayLimits().maxBodyBytes()));
    } else if (content instanceof LastHttpContent) {
      onRequest();
    }
  }

  private void onRequest() {
    InboundRequest request =
        new InboundRequest(
            requestHead.method(),
            requestHead.uri(),
            requestHead.headers(),
            body.complete(),
            context.clock().millis() - body.waitedMillis(),
            fromPeer);
    pipelined.addLast(new ReceivedRequest(request, body.reservation()));
    body = null;
    requestHead = null;
    if (pipelined.size() > MAX_PIPELINED) {
      channelContext.close();
    } else if (exchange == null) {
      context.lag().runAfterRead(this::startNextIfIdle);
    }
  }

  private void startNext() {
    ReceivedRequest received = pipelined.pollFirst();
    if (received == null) {
      return;
    }
    InboundRequest request = received.request();
    bodyInUse = received.body();
    keepAlive =
        !HttpHeaderValues.CLOSE.contentEqualsIgnoreCase(
            request.headers().get(HttpHeaderNames.CONNECTION, ""));
    responseHasBody = !request.method().name().equals("HEAD");
    requestId = idOf(request.headers());
    inFlightChange.accept(1);
    exchange = new Exchange(context, request, this, this::onExchangeDone);
    exchange.start();
  }

  private void onExchangeDone() {
    exchange = null;
    bodyInUse.release();
    bodyInUse = null;
    inFlightChange.accept(-1);
    if (!closing) {
      channelContext.channel().eventLoop().execute(this::startNextIfIdle);
    }
  }

  private String idOf(HttpHeaders headers) {
    return headers.get(context.headers().requestId(), "");
  }

  private void startNextIfIdle() {
    if (exchange == null && !closing) {
      startNext();
      writeRejectionIfDue();
    }
  }

  /**
   * Rejects a request that cannot be read, once the requests before it have their responses, and
   * closes the connection, since it is unknown where the next request starts.
   */
  private void reject(RequestException error) {
    rejection = Optional.of(error);
    rejectedId = requestHead == null ? "" : idOf(requestHead.headers());
    discardBody();
    requestHead = null;
    writeRejectionIfDue();
  }

  private void writeRejectionIfDue() {
    if (rejection.isPresent() && exchange == null && pipelined.isEmpty() && !closing) {
      keepAlive = false;
      responseHasBody = true;
      requestId = rejectedId;
      writeError(rejection.get());
    }
  }

  private void discardBody() {
    if (body != null) {
      BodyReceiver discarded = body;
      body = null;
      discarded.discard();
    }
  }

  @Override
  public void writeError(RequestException error) {
    byte[] text = RequestErrors.toJson(error).getBytes(StandardCharsets.UTF_8);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(error.kind().httpStatus()),
            responseHasBody ? Unpooled.wrappedBuffer(text) : Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
    if (fromPeer) {
      response.headers().set(context.headers().requestId(), requestId);
    }
    if (fromPeer && error.kind().ran() == RanStatus.NO) {
      response.headers().set(context.headers().notRun(), error.kind().wireName());
    }
    setUnusedRuns(response);
    if (error.retryAfterMillis() > 0) {
      response
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              String.format(Locale.ROOT, "%.2f", error.retryAfterMillis() / MILLIS_PER_SECOND));
    }
    writeLast(response);
  }

  @Override
  public void writeHead(HttpResponseStatus status, HttpHeaders headers) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
    if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH) && responseHasBody) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    setUnusedRuns(response);
    setConnectionHeader(response);
    channelContext.writeAndFlush(response);
  }

  /** Tells the node that sent the request which attempts it can still use after an error. */
  private void setUnusedRuns(HttpResponse response) {
    if (exchange != null && response.status().codeClass() != HttpStatusClass.SUCCESS) {
      exchange
          .unusedRuns()
          .ifPresent(runs -> response.headers().set(PeerRequestHeaders.UNUSED_RUNS, runs));
    }
  }

  /** Writes content; what is read from a server at one time is sent to the caller together. */
  @Override
  public void writeContent(ByteBuf content) {
    channelContext.write(new DefaultHttpContent(content.retainedSlice()));
    if (!flushScheduled) {
      flushScheduled = true;
      channelContext.channel().eventLoop().execute(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    channelContext.flush();
  }

  @Override
  public void end() {
    writeLast(new DefaultLastHttpContent());
  }

  @Override
  public void abort() {
    closing = true;
    channelContext.flush();
    channelContext.close();
  }

  @Override
  public boolean isWritable() {
    return channelContext.channel().isWritable();
  }

  private void writeLast(HttpObject last) {
    if (last instanceof HttpResponse response) {
      setConnectionHeader(response);
    }
    unsentResponses++;
    inFlightChange.accept(1);
    ChannelFuture sent = channelContext.writeAndFlush(last).addListener(done -> onResponseSent());
    if (!keepAlive) {
      closing = true;
      sent.addListener(ChannelFutureListener.CLOSE);
    }
  }

  private void onResponseSent() {
    unsentResponses--;
    inFlightChange.accept(-1);
  }

  private void setConnectionHeader(HttpResponse response) {
    if (context.state().isStopping()) {
      keepAlive = false;
    }
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }
}
