package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.node.connection.BodyFraming;
import io.nutmegseam.node.connection.ResponseEnd;
import java.util.Optional;

/**
 * Forwards the response of one request to its caller. The body may consist of the streams of
 * several servers, one after the other. Confined to the traffic thread.
 */
final class ResponseRelay {
  private static final AsciiString EVENT_STREAM_TYPE = AsciiString.cached("text/event-stream");

  private final ResponseWriter writer;
  private SseEventAssembler assembler;
  private boolean started;
  private boolean successful;
  private boolean resumable;
  private long bodyBytes;
  private long bytesOfServer;

  /**
   * Creates a relay.
   *
   * @param writer writes the response to the caller
   */
  ResponseRelay(ResponseWriter writer) {
    this.writer = writer;
  }

  /** Returns whether the head of a response has been forwarded. */
  boolean isStarted() {
    return started;
  }

  /** Forwards the head of the first server's response; ignores the heads of later servers. */
  void onHead(HttpResponse head, Route route) {
    bytesOfServer = 0;
    if (started) {
      return;
    }
    started = true;
    HttpHeaders headers = ForwardedHeaders.toCaller(head.headers());
    successful = head.status().codeClass() == HttpStatusClass.SUCCESS;
    resumable = route.hasResumableStreams();
    if (isEventStream(head, route)) {
      assembler = new SseEventAssembler(ByteBufAllocator.DEFAULT, writer::writeContent);
      // The length of one server's stream is not that of a resumed one.
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    }
    writer.writeHead(head.status(), headers);
  }

  /** Returns whether a successful response consists of events, by its type or else its route. */
  private boolean isEventStream(HttpResponse head, Route route) {
    if (!successful) {
      return false;
    }
    String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE);
    return type == null
        ? route.kind() == RequestKind.STREAMING
        : EVENT_STREAM_TYPE.contentEqualsIgnoreCase(HttpUtil.getMimeType(type));
  }

  /**
   * Forwards a part of the body.
   *
   * @return whether the response can go on; false if it has an event that is too large
   */
  boolean onContent(ByteBuf content) {
    bodyBytes += content.readableBytes();
    bytesOfServer += content.readableBytes();
    if (assembler != null) {
      return assembler.accept(content);
    }
    writer.writeContent(content);
    return true;
  }

  /** Returns how much of the body has been received and forwarded, for log lines. */
  String receivedText() {
    int partialBytes = assembler == null ? 0 : assembler.partialEventBytes();
    String bytes =
        partialBytes == 0
            ? "%d bytes".formatted(bodyBytes)
            : "%d bytes with a partial event of %d bytes".formatted(bodyBytes, partialBytes);
    return forwardedEventId().map(last -> bytes + ", last event \"" + last + "\"").orElse(bytes);
  }

  private Optional<String> forwardedEventId() {
    return assembler == null ? Optional.empty() : assembler.lastEventId();
  }

  /**
   * Returns why a response that has ended is not whole; empty if it is. An event stream proves with
   * the end of its last event that it was not broken off; without any event it needs another mark
   * of its end than that of the connection. A server that stops at its time limit may close the
   * connection in order between two events.
   *
   * @param end how the response ended
   * @param atTimeLimit whether the server may have stopped at its time limit
   */
  Optional<String> findTruncation(ResponseEnd end, boolean atTimeLimit) {
    boolean endsWithConnection = end.framing() == BodyFraming.CONNECTION;
    if (successful && endsWithConnection && atTimeLimit) {
      return Optional.of("response ended at the time limit");
    }
    if (assembler == null) {
      return Optional.empty();
    }
    int partialBytes = assembler.partialEventBytes();
    if (partialBytes > 0) {
      return Optional.of(
          "stream ended inside an event, after %d bytes of it".formatted(partialBytes));
    }
    return endsWithConnection && bytesOfServer == 0
        ? Optional.of("stream ended before its first event")
        : Optional.empty();
  }

  /** Ends a complete response. */
  void end() {
    writer.end();
  }

  /** Forwards a response whose body has been received completely. */
  void onBufferedResponse(HttpResponse head, ByteString body, Route route) {
    onHead(head, route);
    onContent(Unpooled.wrappedBuffer(body.asReadOnlyByteBuffer()));
    end();
  }

  /**
   * Returns the id of the last event that was forwarded, after which another server can resume the
   * stream; empty if the stream cannot be resumed.
   */
  Optional<String> lastEventId() {
    return resumable ? forwardedEventId() : Optional.empty();
  }

  /** Discards an event of which a server sent only a part. */
  void discardPartialEvent() {
    assembler.discardPartialEvent();
  }

  /** Releases the buffers. */
  void release() {
    if (assembler != null) {
      assembler.release();
      assembler = null;
    }
  }
}
