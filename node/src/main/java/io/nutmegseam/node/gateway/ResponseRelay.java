package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.gateway.Route;
import java.util.Optional;

/**
 * Passes the answer of one request on, which may be joined from the streams of several servers.
 * Confined to the traffic thread.
 */
final class ResponseRelay {
  private final ResponseWriter answer;
  private SseEventAssembler assembler;
  private boolean started;

  /**
   * Creates a relay.
   *
   * @param answer takes the answer
   */
  ResponseRelay(ResponseWriter answer) {
    this.answer = answer;
  }

  /** Returns whether the head of an answer has been passed on. */
  boolean isStarted() {
    return started;
  }

  /** Passes on the head of the first server's answer. */
  void onHead(HttpResponse head, Route route) {
    if (started) {
      return;
    }
    started = true;
    HttpHeaders headers = ForwardedHeaders.toCaller(head.headers());
    boolean fixedLength = headers.contains(HttpHeaderNames.CONTENT_LENGTH);
    if (route.kind() == RequestKind.STREAMING && route.resumable() && !fixedLength) {
      assembler = new SseEventAssembler(ByteBufAllocator.DEFAULT, answer::writeContent);
    }
    answer.writeHead(head.status(), headers);
  }

  /** Passes on a piece of the body. */
  void onContent(ByteBuf content) {
    if (assembler == null) {
      answer.writeContent(content);
    } else {
      assembler.accept(content);
    }
  }

  /** Ends a whole answer. */
  void end() {
    if (assembler != null) {
      assembler.end();
    }
    answer.end();
  }

  /** Passes on an answer that is known as a whole. */
  void onBufferedResponse(HttpResponse head, ByteString body, Route route) {
    onHead(head, route);
    onContent(Unpooled.wrappedBuffer(body.asReadOnlyByteBuffer()));
    end();
  }

  /** Returns the id of the last event after which another server can go on. */
  Optional<String> lastEventId() {
    return assembler == null ? Optional.empty() : assembler.lastEventId();
  }

  /** Drops an event that a server did not finish. */
  void discardPartialEvent() {
    assembler.discardPartialEvent();
  }

  /** Frees buffers. */
  void release() {
    if (assembler != null) {
      assembler.release();
      assembler = null;
    }
  }
}
