package io.nutmegseam.node.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.nutmegseam.core.dispatch.WaitingRequest;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.tenant.Tenants;
import io.nutmegseam.node.connection.ServerConnection;
import io.nutmegseam.node.dispatch.DispatchControl;
import io.nutmegseam.node.tenant.RequestTenants;
import java.util.Optional;

/** Creates the requests that are sent to servers on behalf of one request of a caller. */
final class RequestForwarder {
  private static final int NO_PRIORITY = -1;

  private final TrafficContext context;
  private final InboundRequest request;
  private final String requestId;

  /**
   * Creates a forwarder.
   *
   * @param context dependencies shared by all requests
   * @param request request of the caller
   * @param requestId id of the request, which servers echo
   */
  RequestForwarder(TrafficContext context, InboundRequest request, String requestId) {
    this.context = context;
    this.request = request;
    this.requestId = requestId;
  }

  /**
   * Returns the request to a server, or to another node, which sends it to one.
   *
   * @param server the server or the node
   * @param plan routing decision for the request
   * @param lastEventId id of the last event that was forwarded to the caller; empty if the response
   *     has not begun
   * @param history attempts of the request, with the present one
   */
  ServerConnection.OutboundRequest outboundRequest(
      ServerEntry server, RequestPlan plan, Optional<String> lastEventId, AttemptHistory history) {
    boolean toPeer = PeerTargets.isPeer(server);
    HttpHeaders headers =
        toPeer ? peerHeaders(plan, lastEventId, history) : serverHeaders(plan, server, lastEventId);
    RequestTenants.replaceHeaders(
        headers,
        context.headers().tenant(),
        context.state().config().map(GatewayConfig::tenants).orElse(Tenants.NONE),
        plan.route(),
        plan.tenant());
    // Nodes send no response twice; those of earlier builds send errors without the id.
    return new ServerConnection.OutboundRequest(
        request.method(), request.target(), headers, request.body(), requestId, toPeer);
  }

  private HttpHeaders peerHeaders(
      RequestPlan plan, Optional<String> lastEventId, AttemptHistory history) {
    GatewayHeaders names = context.headers();
    HttpHeaders headers =
        ForwardedHeaders.toPeer(request.headers(), names, remainingMillis(plan), history);
    if (lastEventId.isPresent()) {
      headers.set(names.lastEventId(), lastEventId.get());
      if (!headers.contains(names.resumes())) {
        headers.set(names.resumes(), requestId);
      }
    }
    return headers;
  }

  private HttpHeaders serverHeaders(
      RequestPlan plan, ServerEntry server, Optional<String> lastEventId) {
    HttpHeaders headers =
        ForwardedHeaders.toServer(
            request.headers(),
            context.headers(),
            new ForwardedHeaders.HeaderValues(
                remainingMillis(plan), server.incarnation().id(), serverPriority(plan)));
    lastEventId.ifPresent(last -> headers.set(context.headers().lastEventId(), last));
    return headers;
  }

  /** Counts the request for its tenant, and returns its priority at the server. */
  private int serverPriority(RequestPlan plan) {
    DispatchControl dispatch = context.waitQueue().dispatch();
    WaitingRequest waiting = plan.waitingRequest();
    dispatch.onSent(waiting, plan.tokens());
    if (plan.route().kind() != RequestKind.STREAMING) {
      return NO_PRIORITY;
    }
    return context
        .state()
        .config()
        .map(config -> dispatch.serverPriority(config, plan.service(), waiting))
        .orElse(plan.priority());
  }

  private long remainingMillis(RequestPlan plan) {
    return Math.max(1, plan.deadlineMillis() - context.clock().millis());
  }
}
