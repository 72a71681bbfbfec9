package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.quota.ServerLimits;
import java.util.HashMap;
import java.util.Map;

/** Reads the limits that servers name in their responses. Confined to the traffic thread. */
final class NamedLimits {
  private final GatewayHeaders names;
  private final EventSink events;
  private final Map<Incarnation, ServerLimits> limitsByServer = new HashMap<>();
  private final Map<Incarnation, String> unreadableByServer = new HashMap<>();

  /**
   * Creates a reader that knows no limits.
   *
   * @param names names of the headers
   * @param events the log
   */
  NamedLimits(GatewayHeaders names, EventSink events) {
    this.names = names;
    this.events = events;
  }

  /** Reads the limits in the head of a response. */
  void onResponse(Incarnation server, HttpHeaders headers) {
    String text = headers.get(names.requestLimit());
    try {
      onLimits(
          server,
          text == null ? ServerLimits.NONE : new ServerLimits(Double.parseDouble(text.trim())));
      unreadableByServer.remove(server);
    } catch (IllegalArgumentException e) {
      if (!text.equals(unreadableByServer.put(server, text))) {
        events.record(
            EventKind.SERVER_UNREADABLE,
            server.toString(),
            "unreadable limit \"" + text + "\": " + e.getMessage());
      }
    }
  }

  private void onLimits(Incarnation server, ServerLimits limits) {
    ServerLimits before = limitsByServer.getOrDefault(server, ServerLimits.NONE);
    if (limits.equals(before)) {
      return;
    }
    if (limits.isNone()) {
      limitsByServer.remove(server);
    } else {
      limitsByServer.put(server, limits);
    }
    events.record(EventKind.SERVER_LIMIT_NAMED, server.toString(), limits + ", before: " + before);
  }
}
