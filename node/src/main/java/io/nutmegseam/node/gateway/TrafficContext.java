package io.nutmegseam.node.gateway;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.GatewayLimits;
import io.nutmegseam.node.allotment.Allotments;
import io.nutmegseam.node.allotment.RequestCharge;
import io.nutmegseam.node.body.BodyMemory;
import io.nutmegseam.node.connection.ServerConnectionPools;
import io.nutmegseam.node.quota.SendQuotas;
import io.nutmegseam.node.rows.RowStore;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Dependencies shared by all requests. Confined to the traffic thread, except for the state.
 *
 * @param loop the traffic thread
 * @param lag whether the traffic thread runs late
 * @param clock monotonic clock
 * @param headers names of the headers
 * @param state state published by the control thread
 * @param bodies memory of the request bodies
 * @param pools connection pools of the servers
 * @param chooser chooses servers
 * @param reach whether this node reaches servers
 * @param listeners whether the processes of unframed responses have ended
 * @param peers nodes that send requests to servers for this one
 * @param loads load and failures of the servers
 * @param limits reads the limits that servers name
 * @param leaving reads which servers are leaving
 * @param quotas keeps the limits that servers name
 * @param retries limits retries
 * @param waitQueue requests that wait until their model is loaded
 * @param origins software versions at which streams began
 * @param crashes which requests crash servers
 * @param allotments charges requests to the allotments of tenants
 * @param arrivals counts the requests for each model
 * @param events event log
 * @param metrics metrics of the node
 */
record TrafficContext(
    EventLoop loop,
    TrafficLag lag,
    InstantSource clock,
    GatewayHeaders headers,
    GatewayState state,
    BodyMemory bodies,
    ServerConnectionPools pools,
    ServerChooser chooser,
    ServerReach reach,
    ListenerWatch listeners,
    PeerTargets peers,
    ServerLoads loads,
    NamedLimits limits,
    LeavingServers leaving,
    SendQuotas quotas,
    RetryLimiter retries,
    ModelWaitQueue waitQueue,
    StreamOrigins origins,
    CrashGuard crashes,
    Allotments allotments,
    ArrivalCounts arrivals,
    EventSink events,
    GatewayMetrics metrics) {
  private static final GatewayLimits DEFAULT_LIMITS =
      new GatewayLimits(16_384, 4 << 20, 3_000, 15_000);

  /** Returns the limits of the configuration, or others until it has been read. */
  GatewayLimits gatewayLimits() {
    return state.config().map(GatewayConfig::limits).orElse(DEFAULT_LIMITS);
  }

  /**
   * Returns for how long the body of a request may wait for memory, in milliseconds: after that,
   * its response would be late.
   */
  long bodyWaitMillis(HttpRequest head) {
    InboundRequest request =
        new InboundRequest(
            head.method(), head.uri(), head.headers(), ByteString.EMPTY, clock.millis(), false);
    long routeMillis =
        state
            .config()
            .flatMap(config -> config.route(request.host(), request.path()))
            .map(route -> Math.min(route.timeoutMillis(), route.callerIdleTimeoutMillis()))
            .orElse(gatewayLimits().idleTimeoutMillis());
    try {
      return Math.min(
          routeMillis, RequestPlan.callerMillis(head.headers(), headers).orElse(routeMillis));
    } catch (RequestException e) {
      // The value is rejected when the request has been received.
      return routeMillis;
    }
  }

  /** Counts a request that comes from a caller. */
  void countArrival(RequestPlan plan, InboundRequest request) {
    if (!request.fromPeer()) {
      plan.ref().ifPresent(ref -> arrivals.onArrival(plan.modelKey()));
      retries.onNewRequest(plan.service());
    }
  }

  /** Charges a request that comes from a caller to the allotment of its tenant, if it has one. */
  void charge(
      RequestPlan plan,
      InboundRequest request,
      Consumer<RequestCharge> onBegun,
      Runnable onCharged,
      Consumer<RequestException> onRefused) {
    if (request.fromPeer() || plan.tenant().isEmpty()) {
      onCharged.run();
      return;
    }
    allotments.charge(
        plan.tenant().get(),
        plan.tokens(),
        plan.latestStartMillis() - clock.millis(),
        onBegun,
        onCharged,
        onRefused);
  }

  /** Keeps the origins of the streams that begin at a node in the store as well. */
  void keepOriginsInStore(String node, RowStore rows) {
    origins.setStore(
        new StoredOrigins(
            node,
            rows,
            clock,
            (delayMillis, task) -> loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS),
            origins::hasSeveralOrigins,
            events));
  }
}
