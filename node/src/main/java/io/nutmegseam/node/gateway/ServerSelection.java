package io.nutmegseam.node.gateway;

import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.node.quota.SendQuotas;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Selects the servers of one request, one after the other. Confined to the traffic thread. */
final class ServerSelection {
  /** A server that refused a request or a connection is avoided for this time. */
  private static final long REFUSED_PAUSE_MILLIS = 300;

  /** A stream that has begun and waits for longer is late for its caller. */
  private static final long MAX_STREAM_PAUSE_MILLIS = 300;

  private final TrafficContext context;
  private final RequestPlan plan;
  private final Set<String> excludedIds = new HashSet<>();
  private Optional<String> softwareVersion = Optional.empty();
  private boolean streamBegun;

  /**
   * Creates a selection without excluded servers.
   *
   * @param context dependencies shared by all requests
   * @param plan routing decision for the request
   */
  ServerSelection(TrafficContext context, RequestPlan plan) {
    this.context = context;
    this.plan = plan;
  }

  /**
   * Records that a server has not run the request.
   *
   * @param server the server
   * @param misdirected whether it does not have the model loaded, or is another process
   */
  void onNotRun(ServerEntry server, boolean misdirected) {
    if (misdirected && plan.ref().isPresent()) {
      context.chooser().onModelMissing(server, plan.ref().get());
    } else {
      exclude(server);
      context.loads().onFull(server.incarnation().id(), REFUSED_PAUSE_MILLIS);
    }
  }

  /** Excludes a server that has been tried. */
  void exclude(ServerEntry server) {
    excludedIds.add(server.incarnation().id());
  }

  /** Restricts the selection to servers of a software version, which has begun the stream. */
  void requireSoftwareVersion(String version) {
    softwareVersion = Optional.of(version);
    streamBegun = true;
  }

  /** Restricts the selection of a stream that has not begun to a software version. */
  void restrictSoftwareVersion(String version) {
    if (!streamBegun) {
      softwareVersion = Optional.of(version);
    }
  }

  /** Returns the software versions of the servers that the selection may choose. */
  Set<String> softwareVersions() {
    return streamBegun
        ? softwareVersion.stream().collect(Collectors.toSet())
        : context.state().fleet().versionsByService().getOrDefault(plan.service(), Set.of());
  }

  /** Returns the next server, or empty if none can accept the request now. */
  Optional<ServerEntry> choose() {
    return context.chooser().choose(context.state().fleet(), criteria());
  }

  /** Returns how the request may be sent to a server that is at its limit. */
  SendQuotas.Terms termsFor(ServerEntry server) {
    boolean hasAlternative =
        context.chooser().hasAlternative(context.state().fleet(), criteria(), server);
    return new SendQuotas.Terms(hasAlternative ? 0 : maxWaitMillis(), hasAlternative);
  }

  /** Returns the error for a request that none of the servers can accept. */
  RequestException noServerError() {
    long exhaustedMillis = context.chooser().exhaustedMillis(context.state().fleet(), criteria());
    return exhaustedMillis > 0
        ? GatewayErrors.atLimit(plan.description(), RetryAfter.afterMillis(exhaustedMillis))
        : GatewayErrors.noServer(plan.description(), RetryAfter.OVERLOAD_MILLIS);
  }

  private ServerChooser.Criteria criteria() {
    return new ServerChooser.Criteria(
        plan.service(), plan.ref(), plan.affinity(), softwareVersion, excludedIds, maxWaitMillis());
  }

  /** Returns how long the request can wait before it is sent and still meet its target. */
  private long maxWaitMillis() {
    return streamBegun
        ? MAX_STREAM_PAUSE_MILLIS
        : Math.max(0, plan.latestStartMillis() - context.clock().millis());
  }

  /**
   * Returns whether the request needs a model that no server has loaded, or only servers at their
   * limits while another server could load it.
   */
  boolean isModelMissing() {
    return plan.ref().isPresent()
        && context.chooser().isModelMissing(context.state().fleet(), criteria());
  }

  /**
   * Returns the error for a request whose model is expected too late, or empty if the request can
   * wait for it.
   */
  Optional<RequestException> findModelDelay(long nowMillis) {
    Long readyAtMillis =
        context.state().expectedLoadTimes().readyAtMillisByModel().get(plan.ref().orElseThrow());
    boolean tooLate = readyAtMillis != null && readyAtMillis > plan.waitUntilMillis();
    if (!tooLate && nowMillis <= plan.waitUntilMillis()) {
      return Optional.empty();
    }
    long expectedMillis = tooLate ? readyAtMillis - nowMillis : 0;
    return Optional.of(
        GatewayErrors.modelNotInTime(
            plan.description(),
            Math.max(RetryAfter.OVERLOAD_MILLIS, expectedMillis),
            plan.waitUntilMillis() - nowMillis));
  }

  /**
   * Returns whether requests already wait at a server for longer than the target latency. Accepting
   * more requests than servers can handle in time would make all of them late. A stream that goes
   * on has had its first event, and a refusal would waste what was generated.
   */
  boolean wouldMissTarget(ServerEntry server) {
    return !streamBegun
        && plan.route().kind() == RequestKind.STREAMING
        && context.loads().queueMillis(server.incarnation().id())
            > plan.route().targetLatencyMillis();
  }
}
