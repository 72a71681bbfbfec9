package io.nutmegseam.node.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Forwards complete server-sent events of a stream, and keeps the id of the last one, so that
 * another server can resume the stream after it. Confined to the traffic thread.
 */
final class SseEventAssembler {
  /** Limit of an event. Events are held back until their end arrives. */
  static final int MAX_EVENT_BYTES = 1 << 18;

  private static final int INITIAL_BYTES = 512;
  private static final byte NEW_LINE = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private final ByteBufAllocator allocator;
  private final Consumer<ByteBuf> sink;
  private ByteBuf buffered;
  private Optional<String> lastEventId = Optional.empty();
  private boolean lineEmpty = true;
  private boolean afterCarriageReturn;
  private boolean afterEvent;

  /**
   * Creates an assembler.
   *
   * @param allocator allocates the buffer of the incomplete event
   * @param sink receives complete events
   */
  SseEventAssembler(ByteBufAllocator allocator, Consumer<ByteBuf> sink) {
    this.allocator = allocator;
    this.sink = sink;
    this.buffered = allocator.buffer(INITIAL_BYTES);
  }

  /** Returns the id of the last event that was forwarded; empty if no event had an id. */
  Optional<String> lastEventId() {
    return lastEventId;
  }

  /** Returns the size of the part that has been received of the next event, in bytes. */
  int partialEventBytes() {
    return buffered.readableBytes();
  }

  /**
   * Accepts a part of the stream, and forwards the events that it completes.
   *
   * @return whether the stream can go on; false if the event that has begun is larger than {@link
   *     #MAX_EVENT_BYTES}
   */
  boolean accept(ByteBuf part) {
    int end = endOfLastEvent(part);
    if (end >= 0) {
      forward(part.slice(part.readerIndex(), end - part.readerIndex()));
    }
    int rest = Math.max(end, part.readerIndex());
    buffered.writeBytes(part, rest, part.writerIndex() - rest);
    return buffered.readableBytes() <= MAX_EVENT_BYTES;
  }

  /** Discards an event of which the server sent only a part. */
  void discardPartialEvent() {
    buffered.clear();
    lineEmpty = true;
    afterCarriageReturn = false;
    afterEvent = false;
  }

  /** Releases the buffer. */
  void release() {
    buffered.release();
  }

  private void forward(ByteBuf endOfEvents) {
    if (!buffered.isReadable()) {
      updateLastEventId(endOfEvents);
      sink.accept(endOfEvents);
      return;
    }
    ByteBuf complete = buffered.writeBytes(endOfEvents);
    // The sink may keep the buffer until it is written to the caller.
    buffered = allocator.buffer(INITIAL_BYTES);
    updateLastEventId(complete);
    sink.accept(complete);
    complete.release();
  }

  /**
   * Returns the index in a part of the stream after its last empty line, which ends an event; -1 if
   * there is none. Each byte is read once, also if the events arrive in many parts.
   */
  private int endOfLastEvent(ByteBuf part) {
    int end = -1;
    for (int i = part.readerIndex(); i < part.writerIndex(); i++) {
      byte b = part.getByte(i);
      boolean continuesLineEnd = b == NEW_LINE && afterCarriageReturn;
      boolean endsLine = b == NEW_LINE || b == CARRIAGE_RETURN;
      afterEvent = continuesLineEnd ? afterEvent : endsLine && lineEmpty;
      lineEmpty = endsLine;
      afterCarriageReturn = b == CARRIAGE_RETURN;
      end = afterEvent ? i + 1 : end;
    }
    return end;
  }

  private void updateLastEventId(ByteBuf events) {
    events
        .toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.startsWith(ID_FIELD))
        .reduce((earlier, later) -> later)
        .ifPresent(line -> lastEventId = Optional.of(line.substring(ID_FIELD.length()).trim()));
  }
}
