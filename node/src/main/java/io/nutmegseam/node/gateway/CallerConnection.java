package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.gateway.GatewayLimits;
import io.nutmegseam.node.caller.Refusals;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.function.IntConsumer;

/** A caller's connection: one request after the other. Confined to the traffic thread. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements AnswerWriter {
  private static final int MAX_PIPELINED = 8;
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final int DEFAULT_MAX_BODY_BYTES = 4 << 20;

  private final TrafficContext context;
  private final IntConsumer inFlightChange;
  private final Deque<InboundRequest> pipelined = new ArrayDeque<>();
  private ChannelHandlerContext channel;
  private HttpRequest head;
  private CompositeByteBuf body;
  private boolean broken;
  private Exchange exchange;
  private boolean keepAlive;
  private boolean hasBody;

  /**
   * Creates the handler of a connection.
   *
   * @param context what requests share
   * @param inFlightChange takes 1 when a request begins and -1 when it is over
   */
  CallerConnection(TrafficContext context, IntConsumer inFlightChange) {
    this.context = context;
    this.inFlightChange = inFlightChange;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    channel = added;
  }

  /** Closes the connection if no request is under way. */
  void closeIfIdle() {
    if (exchange == null && head == null) {
      channel.close();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (!broken) {
        onObject((HttpObject) message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    broken = true;
    pipelined.clear();
    releaseBody();
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
    if (event instanceof IdleStateEvent) {
      closeIfIdle();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // The caller's side broke off; closing the channel cancels the request.
    ctx.close();
  }

  private void onObject(HttpObject message) {
    if (message.decoderResult().isFailure()) {
      reject(GatewayErrors.malformed(String.valueOf(message.decoderResult().cause())));
      return;
    }
    if (message instanceof HttpRequest request) {
      onHead(request);
    }
    if (message instanceof HttpContent content && head != null) {
      onContent(content);
    }
  }

  private void onHead(HttpRequest request) {
    if (isAmbiguous(request.headers())) {
      reject(GatewayErrors.malformed("conflicting lengths"));
      return;
    }
    head = request;
    body = channel.alloc().compositeBuffer();
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /** A request whose end two readers could see at different places is refused. */
  private static boolean isAmbiguous(HttpHeaders headers) {
    boolean chunked = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    int lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size();
    boolean known =
        !chunked
            || "chunked"
                .equals(headers.get(HttpHeaderNames.TRANSFER_ENCODING).toLowerCase(Locale.ROOT));
    return (chunked && lengths > 0) || lengths > 1 || !known;
  }

  private void onContent(HttpContent content) {
    int maxBytes =
        context
            .board()
            .config()
            .map(config -> config.limits())
            .map(GatewayLimits::maxBodyBytes)
            .orElse(DEFAULT_MAX_BODY_BYTES);
    if (body.readableBytes() + content.content().readableBytes() > maxBytes) {
      reject(GatewayErrors.bodyTooLarge(maxBytes));
      return;
    }
    body.addComponent(true, content.content().retain());
    if (content instanceof LastHttpContent) {
      onRequest();
    }
  }

  private void onRequest() {
    InboundRequest request =
        new InboundRequest(
            head.method(),
            head.uri(),
            head.headers(),
            ByteString.copyFrom(body.nioBuffer()),
            context.clock().millis());
    releaseBody();
    head = null;
    pipelined.addLast(request);
    if (pipelined.size() > MAX_PIPELINED) {
      channel.close();
    } else if (exchange == null) {
      startNext();
    }
  }

  private void startNext() {
    InboundRequest request = pipelined.pollFirst();
    if (request == null) {
      return;
    }
    if (context.board().isClosed()) {
      abort();
      return;
    }
    keepAlive =
        !HttpHeaderValues.CLOSE.contentEqualsIgnoreCase(
            request.headers().get(HttpHeaderNames.CONNECTION, ""));
    hasBody = !request.method().name().equals("HEAD");
    inFlightChange.accept(1);
    exchange = new Exchange(context, request, this, this::onExchangeDone);
    exchange.start();
  }

  private void onExchangeDone() {
    exchange = null;
    inFlightChange.accept(-1);
    if (!broken) {
      channel.channel().eventLoop().execute(this::startNextIfIdle);
    }
  }

  private void startNextIfIdle() {
    if (exchange == null && !broken) {
      startNext();
    }
  }

  /** Answers a request that cannot be read; what follows on the connection has no known start. */
  private void reject(RequestException error) {
    broken = true;
    releaseBody();
    head = null;
    if (exchange == null) {
      keepAlive = false;
      refuse(error);
    } else {
      channel.close();
    }
  }

  private void releaseBody() {
    if (body != null) {
      body.release();
      body = null;
    }
  }

  @Override
  public void refuse(RequestException error) {
    byte[] text = Refusals.body(error).getBytes(StandardCharsets.UTF_8);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(error.kind().httpStatus()),
            Unpooled.wrappedBuffer(text));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
    if (error.retryAfterMillis() > 0) {
      response
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              String.format(Locale.ROOT, "%.2f", error.retryAfterMillis() / MILLIS_PER_SECOND));
    }
    finishWith(response);
  }

  @Override
  public void head(HttpResponseStatus status, HttpHeaders headers) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
    if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH) && hasBody) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    markLast(response);
    channel.writeAndFlush(response);
  }

  @Override
  public void content(ByteBuf content) {
    channel.writeAndFlush(new DefaultHttpContent(content.retainedSlice()));
  }

  @Override
  public void end() {
    finishWith(new DefaultLastHttpContent());
  }

  @Override
  public void abort() {
    broken = true;
    channel.close();
  }

  @Override
  public boolean isWritable() {
    return channel.channel().isWritable();
  }

  private void finishWith(HttpObject last) {
    if (last instanceof HttpResponse response) {
      markLast(response);
    }
    boolean close = !keepAlive;
    if (close) {
      broken = true;
      channel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
    } else {
      channel.writeAndFlush(last);
    }
  }

  private void markLast(HttpResponse response) {
    if (context.board().isStopping()) {
      keepAlive = false;
    }
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }
}
