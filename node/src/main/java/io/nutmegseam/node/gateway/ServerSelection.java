package io.nutmegseam.node.gateway;

import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.RequestKind;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Selects the servers of one request, one after the other. Confined to the traffic thread. */
final class ServerSelection {
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
    ServerChooser.Criteria criteria =
        new ServerChooser.Criteria(
            plan.service(), plan.ref(), plan.affinity(), softwareVersion, excludedIds);
    return context.chooser().choose(context.state().fleet(), criteria);
  }

  /** Returns whether the request needs a model that no server has loaded. */
  boolean isModelMissing() {
    return plan.ref().isPresent()
        && context
            .chooser()
            .eligibleServers(context.state().fleet(), plan.service(), plan.ref())
            .isEmpty();
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
