package io.nutmegseam.node.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import io.nutmegseam.node.http.ResponseStatus;
import java.util.function.Predicate;

/** Decodes HTTP responses, and tells what is known of the end of the received bytes. */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int LINE_BYTES = 8_192;
  private static final int HEAD_BYTES = 65_536;
  private static final int CHUNK_BYTES = 8_192;

  /**
   * Limit of the received bytes that carry no content of the response, beyond a multiple of its
   * content: heads, responses to other requests, chunk sizes, trailers and blanks.
   */
  private static final long MAX_OVERHEAD_BYTES = 1 << 20;

  private static final long OVERHEAD_PER_CONTENT_BYTE = 8;

  private boolean endOfInput;
  private boolean responseExpected;
  private Predicate<HttpResponse> endsWithHead = response -> false;
  private long receivedBytes;
  private long contentBytes;

  ResponseDecoder() {
    super(LINE_BYTES, HEAD_BYTES, CHUNK_BYTES);
  }

  /** Returns whether the server has closed its side of the connection in order. */
  boolean hasEndOfInput() {
    return endOfInput;
  }

  /**
   * Starts to count the bytes of the next response.
   *
   * @param responseEndsWithHead whether a response has no body whatever its headers say, as those
   *     to HEAD
   */
  void onRequest(Predicate<HttpResponse> responseEndsWithHead) {
    responseExpected = true;
    endsWithHead = responseEndsWithHead;
    receivedBytes = 0;
    contentBytes = 0;
  }

  /** Ends the response; bytes that follow belong to none. */
  void onResponseEnd() {
    responseExpected = false;
  }

  /** Counts a part of the response's content. */
  void onContent(int bytes) {
    contentBytes += bytes;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    if (!ResponseStatus.isStatus(initialLine[1])) {
      throw new IllegalArgumentException("\"" + initialLine[1] + "\" is no status");
    }
    return super.createMessage(initialLine);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return super.isContentAlwaysEmpty(message)
        || (message instanceof HttpResponse response && endsWithHead.test(response));
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (!responseExpected) {
      ReferenceCountUtil.release(message);
      context.close();
      return;
    }
    receivedBytes += ((ByteBuf) message).readableBytes();
    super.channelRead(context, message);
    long overheadBytes = receivedBytes - contentBytes;
    if (overheadBytes > MAX_OVERHEAD_BYTES + OVERHEAD_PER_CONTENT_BYTE * contentBytes) {
      context.fireExceptionCaught(
          new TooLongFrameException(
              "%d of %d received bytes are no content".formatted(overheadBytes, receivedBytes)));
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    endOfInput |= event instanceof ChannelInputShutdownEvent;
    super.userEventTriggered(context, event);
  }

  /** Returns whether bytes have arrived that were not decoded as part of a response. */
  boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }
}
