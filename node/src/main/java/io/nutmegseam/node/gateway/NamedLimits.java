package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.quota.ServerLimits;
import io.nutmegseam.node.quota.SendQuotas;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Reads the limits and the pauses that servers name in their responses. Confined to the traffic
 * thread.
 */
final class NamedLimits {
  private static final int MAX_REMEMBERED = 1_000;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** A server that asks for a longer pause is taken to have named a wrong value. */
  private static final double MAX_PAUSE_SECONDS = 86_400;

  private final GatewayHeaders names;
  private final SendQuotas quotas;
  private final EventSink events;
  private final Map<Incarnation, String> unreadableByServer = new HashMap<>();

  /**
   * Creates a reader.
   *
   * @param names names of the headers
   * @param quotas receives the limits
   * @param events the log
   */
  NamedLimits(GatewayHeaders names, SendQuotas quotas, EventSink events) {
    this.names = names;
    this.quotas = quotas;
    this.events = events;
  }

  /**
   * Reads the limits in the head of a response. An unreadable limit changes nothing.
   *
   * @param server the server
   * @param headers headers of the response
   * @param sentMillis monotonic time at which the request was sent
   */
  void onResponse(Incarnation server, HttpHeaders headers, long sentMillis) {
    String requests = headers.get(names.requestLimit());
    String rejections = headers.get(names.rejectionLimit());
    try {
      quotas.onResponse(
          server, new ServerLimits(perSecond(requests), perSecond(rejections)), sentMillis);
    } catch (IllegalArgumentException e) {
      onUnreadable(server, requests, rejections, e);
    }
  }

  /**
   * Reads for how long a server asks this node for no requests. Only a number of seconds in a
   * response with status 503 counts; anything else is ignored.
   *
   * @param server the server
   * @param status status of the response
   * @param headers headers of the response
   */
  void readPause(Incarnation server, HttpResponseStatus status, HttpHeaders headers) {
    String text = headers.get(HttpHeaderNames.RETRY_AFTER);
    if (text == null || status.code() != HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
      return;
    }
    OptionalLong pauseMillis = pauseMillis(text);
    if (pauseMillis.isEmpty()) {
      recordUnreadable(server, "ignored Retry-After \"" + text + "\"");
    } else if (pauseMillis.getAsLong() > 0) {
      quotas.onPause(server, pauseMillis.getAsLong());
      events.record(
          EventKind.SERVER_PAUSED,
          server.toString(),
          "asks for no requests for %d ms".formatted(pauseMillis.getAsLong()));
    }
  }

  private static OptionalLong pauseMillis(String text) {
    try {
      double seconds = Double.parseDouble(text.trim());
      boolean valid = seconds >= 0 && seconds <= MAX_PAUSE_SECONDS;
      return valid
          ? OptionalLong.of((long) Math.ceil(seconds * MILLIS_PER_SECOND))
          : OptionalLong.empty();
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private static double perSecond(String text) {
    return text == null ? Double.POSITIVE_INFINITY : Double.parseDouble(text.trim());
  }

  private void onUnreadable(
      Incarnation server, String requests, String rejections, IllegalArgumentException cause) {
    recordUnreadable(
        server,
        "unreadable limits, requests \"%s\", rejections \"%s\": %s"
            .formatted(requests, rejections, cause.getMessage()));
  }

  /** Logs what a server says that cannot be read, unless it repeats the last such text. */
  private void recordUnreadable(Incarnation server, String text) {
    if (unreadableByServer.size() >= MAX_REMEMBERED) {
      unreadableByServer.clear();
    }
    if (!text.equals(unreadableByServer.put(server, text))) {
      events.record(EventKind.SERVER_UNREADABLE, server.toString(), text);
    }
  }
}
