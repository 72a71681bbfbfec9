package io.nutmegseam.node.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;

/** Splits the byte stream into frames and rejects frames that exceed the size limit. */
final class BoundedFrameDecoder extends ProtobufVarint32FrameDecoder {
  private static final int MAX_PREFIX_BYTES = 5;

  private final int maxFrameBytes;

  BoundedFrameDecoder(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (in.readableBytes() > maxFrameBytes + MAX_PREFIX_BYTES && out.isEmpty()) {
      int length = peekLength(in);
      if (length < 0 || length > maxFrameBytes) {
        throw new TooLongFrameException(
            "frame has %d bytes, the limit is %d".formatted(length, maxFrameBytes));
      }
    }
    super.decode(context, in, out);
  }

  /** Reads the length prefix without consuming it; returns -1 if it is malformed. */
  private static int peekLength(ByteBuf in) {
    int length = 0;
    for (int i = 0; i < MAX_PREFIX_BYTES; i++) {
      byte b = in.getByte(in.readerIndex() + i);
      length |= (b & 0x7f) << (7 * i);
      if (b >= 0) {
        return length;
      }
    }
    return -1;
  }
}
