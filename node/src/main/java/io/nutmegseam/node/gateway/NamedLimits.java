package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.quota.ServerLimits;
import io.nutmegseam.node.quota.SendQuotas;
import java.util.HashMap;
import java.util.Map;

/** Reads the limits that servers name in their responses. Confined to the traffic thread. */
final class NamedLimits {
  private static final int MAX_REMEMBERED = 1_000;

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

  private static double perSecond(String text) {
    return text == null ? Double.POSITIVE_INFINITY : Double.parseDouble(text.trim());
  }

  private void onUnreadable(
      Incarnation server, String requests, String rejections, IllegalArgumentException cause) {
    String text = "requests \"%s\", rejections \"%s\"".formatted(requests, rejections);
    if (unreadableByServer.size() >= MAX_REMEMBERED) {
      unreadableByServer.clear();
    }
    if (!text.equals(unreadableByServer.put(server, text))) {
      events.record(
          EventKind.SERVER_UNREADABLE,
          server.toString(),
          "unreadable limits, " + text + ": " + cause.getMessage());
    }
  }
}
