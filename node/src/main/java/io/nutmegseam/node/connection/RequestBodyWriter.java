package io.nutmegseam.node.connection;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpChunkedInput;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.stream.ChunkedStream;
import io.netty.handler.stream.ChunkedWriteHandler;

/**
 * Writes requests. The transport copies what it writes to direct memory, so a large body is written
 * in parts, each when the one before has left.
 */
final class RequestBodyWriter {
  /** Size of the parts, and largest body that is written at once, in bytes. */
  private static final int PART_BYTES = 64 << 10;

  private RequestBodyWriter() {}

  /**
   * Writes a request from a handler.
   *
   * @return completes when all of the request is written
   */
  static ChannelFuture write(ChannelHandlerContext context, HttpRequest head, ByteString body) {
    if (body.size() <= PART_BYTES) {
      return context
          .channel()
          .writeAndFlush(
              new DefaultFullHttpRequest(
                  head.protocolVersion(),
                  head.method(),
                  head.uri(),
                  Unpooled.wrappedBuffer(body.asReadOnlyByteBuffer()),
                  head.headers(),
                  new DefaultHttpHeaders()));
    }
    ChannelPipeline pipeline = context.pipeline();
    if (pipeline.get(ChunkedWriteHandler.class) == null) {
      pipeline.addBefore(context.name(), null, new ChunkedWriteHandler());
    }
    context.channel().write(head);
    return context
        .channel()
        .writeAndFlush(new HttpChunkedInput(new ChunkedStream(body.newInput(), PART_BYTES)));
  }
}
