package io.nutmegseam.node.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes HTTP responses, and tells what is known of the end of the received bytes. */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int LINE_BYTES = 8_192;
  private static final int HEAD_BYTES = 65_536;
  private static final int CHUNK_BYTES = 8_192;

  private boolean endOfInput;

  ResponseDecoder() {
    super(LINE_BYTES, HEAD_BYTES, CHUNK_BYTES);
  }

  /** Returns whether the server has closed its side of the connection in order. */
  boolean hasEndOfInput() {
    return endOfInput;
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
