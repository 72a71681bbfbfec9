package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.fleet.ServerEntry;

/** Reads what a server says of itself in the head of a response. Confined to the traffic thread. */
final class ServerHeaders {
  private static final int MIN_LOAD_FIELDS = 2;
  private static final int FACTOR_FIELD = 3;

  private ServerHeaders() {}

  /**
   * Records whether the server is leaving, its limits and its load.
   *
   * @param context dependencies shared by all requests
   * @param server the server
   * @param head head of the response
   * @param sentMillis monotonic time at which the request was sent
   */
  static void read(TrafficContext context, ServerEntry server, HttpResponse head, long sentMillis) {
    HttpHeaders headers = head.headers();
    context.leaving().onResponse(server.incarnation(), head.status(), headers);
    if (!head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
      context.limits().onResponse(server.incarnation(), headers, sentMillis);
      context.limits().readPause(server.incarnation(), head.status(), headers);
    }
    String load = headers.get(context.headers().load());
    if (load != null) {
      readLoad(context, server.incarnation().id(), load);
    }
  }

  private static void readLoad(TrafficContext context, String serverId, String text) {
    String[] fields = text.split(",", -1);
    try {
      if (fields.length >= MIN_LOAD_FIELDS) {
        int running = Integer.parseInt(fields[0].trim());
        int queued = Integer.parseInt(fields[1].trim());
        context.loads().onReport(serverId, running, queued);
      }
      if (fields.length > FACTOR_FIELD) {
        int percent = Integer.parseInt(fields[FACTOR_FIELD].trim());
        context.chooser().paces().onFactor(serverId, percent);
      }
    } catch (NumberFormatException e) {
      context
          .events()
          .record(EventKind.SERVER_UNREADABLE, serverId, "unreadable load header \"" + text + "\"");
    }
  }
}
