package io.nutmegseam.node.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Passes the events of a stream on whole, and remembers the id of the last one, so that another
 * server can go on after it. Confined to the traffic thread.
 */
final class SseEventAssembler {
  /** A piece of a stream without an end of an event is passed on as it is from this size. */
  private static final int MAX_EVENT_BYTES = 1 << 18;

  private static final byte NEW_LINE = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private final CompositeByteBuf unfinished;
  private final Consumer<ByteBuf> sink;
  private Optional<String> lastId = Optional.empty();

  /**
   * Creates an assembler.
   *
   * @param allocator allocates the buffer of the unfinished event
   * @param sink takes whole events
   */
  SseEventAssembler(ByteBufAllocator allocator, Consumer<ByteBuf> sink) {
    this.unfinished = allocator.compositeBuffer(Integer.MAX_VALUE);
    this.sink = sink;
  }

  /** Returns the id of the last event that was passed on. */
  Optional<String> lastEventId() {
    return lastId;
  }

  /** Takes a piece of the stream and passes on the events that it ends. */
  void accept(ByteBuf piece) {
    unfinished.addComponent(true, piece.retainedSlice());
    int end = endOfLastEvent();
    if (end < 0 && unfinished.readableBytes() > MAX_EVENT_BYTES) {
      end = unfinished.writerIndex();
    }
    if (end > unfinished.readerIndex()) {
      ByteBuf whole = unfinished.readSlice(end - unfinished.readerIndex());
      readLastId(whole);
      sink.accept(whole);
      unfinished.discardReadComponents();
    }
  }

  /** Passes on what is left at the end of a whole answer. */
  void end() {
    if (unfinished.isReadable()) {
      sink.accept(unfinished.readSlice(unfinished.readableBytes()));
    }
  }

  /** Drops an event that the server did not finish. */
  void discardPartialEvent() {
    unfinished.skipBytes(unfinished.readableBytes());
    unfinished.discardReadComponents();
  }

  /** Frees the buffer. */
  void release() {
    unfinished.release();
  }

  /** Returns the index after the last empty line, or -1. */
  private int endOfLastEvent() {
    int lineEnd = -1;
    for (int i = unfinished.writerIndex() - 1; i >= unfinished.readerIndex(); i--) {
      byte b = unfinished.getByte(i);
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

  private void readLastId(ByteBuf events) {
    String text = events.toString(StandardCharsets.UTF_8);
    int at = text.startsWith(ID_FIELD) ? 0 : -1;
    int later = text.lastIndexOf("\n" + ID_FIELD);
    if (later >= 0) {
      at = later + 1;
    }
    if (at >= 0) {
      int end = text.indexOf('\n', at);
      lastId =
          Optional.of(text.substring(at + ID_FIELD.length(), end < 0 ? text.length() : end).trim());
    }
  }
}
