package io.nutmegseam.node.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Forwards complete server-sent events of a stream, and keeps the id of the last one, so that
 * another server can resume the stream after it. Confined to the traffic thread.
 */
final class SseEventAssembler {
  /** A larger incomplete event is forwarded without waiting for its end. */
  private static final int MAX_EVENT_BYTES = 1 << 18;

  private static final byte NEW_LINE = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private final CompositeByteBuf buffered;
  private final Consumer<ByteBuf> sink;
  private Optional<String> lastEventId = Optional.empty();

  /**
   * Creates an assembler.
   *
   * @param allocator allocates the buffer of the incomplete event
   * @param sink receives complete events
   */
  SseEventAssembler(ByteBufAllocator allocator, Consumer<ByteBuf> sink) {
    this.buffered = allocator.compositeBuffer(Integer.MAX_VALUE);
    this.sink = sink;
  }

  /** Returns the id of the last event that was forwarded; empty if no event had an id. */
  Optional<String> lastEventId() {
    return lastEventId;
  }

  /** Returns the size of the part that has been received of the next event, in bytes. */
  int partialEventBytes() {
    return buffered.readableBytes();
  }

  /** Accepts a part of the stream, and forwards the events that it completes. */
  void accept(ByteBuf part) {
    buffered.addComponent(true, part.retainedSlice());
    int end = endOfLastEvent();
    if (end < 0 && buffered.readableBytes() > MAX_EVENT_BYTES) {
      end = buffered.writerIndex();
    }
    if (end > buffered.readerIndex()) {
      ByteBuf complete = buffered.readSlice(end - buffered.readerIndex());
      updateLastEventId(complete);
      sink.accept(complete);
      buffered.discardReadComponents();
    }
  }

  /** Discards an event of which the server sent only a part. */
  void discardPartialEvent() {
    buffered.skipBytes(buffered.readableBytes());
    buffered.discardReadComponents();
  }

  /** Releases the buffer. */
  void release() {
    buffered.release();
  }

  /** Returns the index after the last empty line, which ends an event; -1 if there is none. */
  private int endOfLastEvent() {
    int lineEnd = -1;
    for (int i = buffered.writerIndex() - 1; i >= buffered.readerIndex(); i--) {
      byte b = buffered.getByte(i);
      if (b == NEW_LINE && lineEnd >= 0) {
        return lineEnd + 1;
      }
      if (b == NEW_LINE) {
        lineEnd = i;
      } else if (b != CARRIAGE_RETURN) {
        lineEnd = -1;
      }
    }
    return -1;
  }

  private void updateLastEventId(ByteBuf events) {
    String text = events.toString(StandardCharsets.UTF_8);
    int fieldStart = text.startsWith(ID_FIELD) ? 0 : -1;
    int lastMatch = text.lastIndexOf("\n" + ID_FIELD);
    if (lastMatch >= 0) {
      fieldStart = lastMatch + 1;
    }
    if (fieldStart >= 0) {
      int end = text.indexOf('\n', fieldStart);
      lastEventId =
          Optional.of(
              text.substring(fieldStart + ID_FIELD.length(), end < 0 ? text.length() : end).trim());
    }
  }
}
