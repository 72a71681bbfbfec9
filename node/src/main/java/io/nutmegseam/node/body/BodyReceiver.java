package io.nutmegseam.node.body;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Receives the body of one request on the heap. Its connection is not read from while there is no
 * memory for the body. Confined to the traffic thread.
 */
public final class BodyReceiver {
  private final Limits limits;
  private final ChannelHandlerContext connection;
  private final InstantSource clock;
  private final Runnable onExpired;
  private final BodyMemory.Reservation reservation;
  private ByteString.Output output;
  private ScheduledFuture<?> expiry;
  private boolean continueDue;
  private long progressMillis;
  private long waitingSinceMillis;
  private long waitedMillis;

  /**
   * Limits of a body.
   *
   * @param maxBytes maximum size, in bytes
   * @param maxWaitMillis supplies the longest wait for memory, in milliseconds
   */
  public record Limits(int maxBytes, LongSupplier maxWaitMillis) {}

  /**
   * Creates a receiver, and stops reading from the connection until there is memory.
   *
   * @param request the head of the request
   * @param memory memory of all bodies
   * @param limits limits of the body; its length, if the head names it, is not larger
   * @param connection the connection of the caller
   * @param clock monotonic clock
   * @param onExpired called when it has waited for too long
   */
  public BodyReceiver(
      HttpRequest request,
      BodyMemory memory,
      Limits limits,
      ChannelHandlerContext connection,
      InstantSource clock,
      Runnable onExpired) {
    this.limits = limits;
    this.connection = connection;
    this.clock = clock;
    this.onExpired = onExpired;
    this.progressMillis = clock.millis();
    this.continueDue = HttpUtil.is100ContinueExpected(request);
    long expectedBytes =
        BodyLengths.of(request).orElse(Math.min(limits.maxBytes(), BodyMemory.SMALL_BODY_BYTES));
    this.reservation = memory.reserve(expectedBytes, this::onGranted);
    this.output = ByteString.newOutput((int) Math.min(expectedBytes, BodyMemory.SMALL_BODY_BYTES));
    if (reservation.isWaiting()) {
      stopReading();
    } else {
      writeContinueIfDue();
    }
  }

  /** Returns whether it waits for memory. */
  public boolean isWaiting() {
    return reservation.isWaiting();
  }

  /**
   * Returns for how long it has waited for memory, in milliseconds. The caller could not send the
   * body meanwhile.
   */
  public long waitedMillis() {
    return waitedMillis + (isWaiting() ? clock.millis() - waitingSinceMillis : 0);
  }

  /**
   * Closes the connection of a caller that has sent nothing for some time although the connection
   * is read from.
   *
   * @param limitMillis that time, in milliseconds
   */
  public void closeIfStalled(long limitMillis) {
    if (!isWaiting() && clock.millis() - progressMillis >= limitMillis) {
      connection.close();
    }
  }

  /** Adds content, which it copies; returns false if the body is larger than the maximum. */
  public boolean add(ByteBuf content) {
    progressMillis = clock.millis();
    int contentBytes = content.readableBytes();
    if ((long) output.size() + contentBytes > limits.maxBytes()) {
      return false;
    }
    try {
      content.getBytes(content.readerIndex(), output, contentBytes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    if (output.size() > reservation.bytes() && !isWaiting()) {
      reservation.growTo(limits.maxBytes());
      if (isWaiting()) {
        stopReading();
      }
    }
    return true;
  }

  /** Returns the complete body. Its memory stays reserved until the reservation is released. */
  public ByteString complete() {
    reservation.settle(output.size());
    ByteString body = output.toByteString();
    close();
    return body;
  }

  /** Returns the memory of the body. */
  public BodyMemory.Reservation reservation() {
    return reservation;
  }

  /** Discards what has been received. */
  public void discard() {
    reservation.release();
    close();
  }

  /**
   * Drops the reference to the body: the reservation, which refers to this receiver, may live
   * longer.
   */
  private void close() {
    output = null;
    startReading();
  }

  private void stopReading() {
    waitingSinceMillis = clock.millis();
    connection.channel().config().setAutoRead(false);
    long maxWaitMillis = limits.maxWaitMillis().getAsLong();
    expiry =
        connection
            .executor()
            .schedule(onExpired, maxWaitMillis - waitedMillis, TimeUnit.MILLISECONDS);
  }

  private void onGranted() {
    progressMillis = clock.millis();
    waitedMillis += clock.millis() - waitingSinceMillis;
    startReading();
    writeContinueIfDue();
  }

  private void startReading() {
    if (expiry != null) {
      expiry.cancel(false);
      expiry = null;
    }
    connection.channel().config().setAutoRead(true);
  }

  private void writeContinueIfDue() {
    if (continueDue) {
      continueDue = false;
      connection.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }
}
