package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.node.peer.generated.LeavingServer;
import io.nutmegseam.node.peer.generated.PeerFrame;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Learns from the responses of servers which of them are leaving, so that these get no new work.
 * Confined to the traffic thread.
 */
final class LeavingServers {
  private static final String LEAVING = "1";
  private static final int MAX_REMEMBERED = 1_000;

  private final String header;
  private final GatewayState state;
  private final Consumer<Incarnation> onLeaving;
  private final EventSink events;
  private final Set<Incarnation> unreadable = new HashSet<>();

  /**
   * Creates a component that knows of no leaving server.
   *
   * @param header name of the header by which a server says that it is leaving
   * @param state receives the servers that are leaving
   * @param onLeaving receives each server once that has said so to this node
   * @param events the log
   */
  LeavingServers(
      String header, GatewayState state, Consumer<Incarnation> onLeaving, EventSink events) {
    this.header = header;
    this.state = state;
    this.onLeaving = onLeaving;
    this.events = events;
  }

  /**
   * Reads the head of a response to any kind of request. A misdirected request may have reached
   * another process at the address of the server, so that its response says nothing of it.
   *
   * @param server the server that the request was sent to
   * @param status status of the response
   * @param headers headers of the response
   */
  void onResponse(Incarnation server, HttpResponseStatus status, HttpHeaders headers) {
    String value = headers.get(header);
    if (value == null || status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
      return;
    }
    if (!value.trim().equals(LEAVING)) {
      onUnreadable(server, value);
    } else if (state.addLeaving(server)) {
      events.record(EventKind.SERVER_LEAVING, server.toString(), "the server says so");
      onLeaving.accept(server);
    }
  }

  /** Returns the frame that tells another node of a leaving server. */
  static PeerFrame.Builder frame(Incarnation server) {
    LeavingServer.Builder news =
        LeavingServer.newBuilder().setServer(server.id()).setBornMillis(server.startedAtMillis());
    return PeerFrame.newBuilder().setLeavingServer(news);
  }

  /** Applies what a server has said to another node. */
  void onNews(String node, Incarnation server) {
    if (state.addLeaving(server)) {
      events.record(
          EventKind.SERVER_LEAVING, server.toString(), "the server says so to node " + node);
    }
  }

  private void onUnreadable(Incarnation server, String value) {
    if (unreadable.size() >= MAX_REMEMBERED) {
      unreadable.clear();
    }
    if (unreadable.add(server)) {
      events.record(
          EventKind.SERVER_UNREADABLE,
          server.toString(),
          "unknown value of %s, taken as not leaving: \"%s\"".formatted(header, value));
    }
  }
}
