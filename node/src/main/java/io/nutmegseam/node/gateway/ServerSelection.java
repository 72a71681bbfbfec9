package io.nutmegseam.node.gateway;

import io.nutmegseam.core.error.RequestException;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.RequestKind;
import io.nutmegseam.core.pace.PromptRequest;
import io.nutmegseam.node.pace.PaceTracker;
import io.nutmegseam.node.quota.SendQuotas;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/** Selects the servers of one request, one after the other. Confined to the traffic thread. */
final class ServerSelection {
  /** A server that refused a request or a connection is avoided for this time. */
  private static final long REFUSED_PAUSE_MILLIS = 300;

  /** A stream that has begun and waits for longer is late for its caller. */
  private static final long MAX_STREAM_PAUSE_MILLIS = 300;

  /** A request that has met so many servers that cannot be connected to goes to another node. */
  private static final int MAX_UNREACHABLE = 2;

  private final TrafficContext context;
  private final RequestPlan plan;
  private final Set<String> excludedIds = new HashSet<>();
  private final Map<String, Long> refusedUntilMillis = new HashMap<>();
  private int refusals;
  private Optional<String> softwareVersion = Optional.empty();
  private final boolean fromPeer;
  private final int requestBytes;
  private boolean streamBegun;
  private boolean begunAtPeer;
  private Optional<ServerEntry> begunAt = Optional.empty();
  private int unreachableServers;

  /**
   * Creates a selection without excluded servers.
   *
   * @param context dependencies shared by all requests
   * @param plan routing decision for the request
   * @param request the request; if another node sent it, it goes to a server only
   */
  ServerSelection(TrafficContext context, RequestPlan plan, InboundRequest request) {
    this.context = context;
    this.plan = plan;
    this.fromPeer = request.fromPeer();
    this.requestBytes = request.body().size();
  }

  /**
   * Records that a server has not run the request.
   *
   * @param server the server
   * @param connected whether it responded to the request
   * @param misdirected whether it does not have the model loaded, or is another process
   */
  void onNotRun(ServerEntry server, boolean connected, boolean misdirected) {
    if (!connected && !PeerTargets.isPeer(server)) {
      unreachableServers++;
    }
    if (misdirected && plan.ref().isPresent()) {
      context.chooser().onModelMissing(server, plan.ref().get());
    } else {
      if (connected && plan.ref().isPresent() && !PeerTargets.isPeer(server)) {
        // Doubled each time, since few attempts are allowed for one request.
        refusedUntilMillis.put(
            server.incarnation().id(),
            context.clock().millis() + (REFUSED_PAUSE_MILLIS << refusals));
        refusals++;
      } else {
        exclude(server);
      }
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

  /**
   * Returns the next server, or empty if none can accept the request now. Another node takes the
   * place of the servers if this one reaches none of them, or not those that could serve the
   * request.
   */
  Optional<ServerEntry> choose() {
    if (isVersionUnknown()) {
      return Optional.empty();
    }
    if (begunAtPeer || isCutOff()) {
      return choosePeer();
    }
    if (context.reach().reach() == ServerReach.Reach.IMPAIRED && context.peers().isAvailable()) {
      return choosePeer().or(this::chooseServer);
    }
    Optional<ServerEntry> server = chooseServer();
    boolean mayBeCutOff =
        unreachableServers >= MAX_UNREACHABLE || (unreachableServers > 0 && server.isEmpty());
    return mayBeCutOff ? choosePeer().or(() -> server) : server;
  }

  /** Returns whether the request could be sent elsewhere after a server has been tried. */
  boolean hasAlternative(ServerEntry server) {
    boolean added = excludedIds.add(server.incarnation().id());
    boolean found = choose().isPresent();
    if (added) {
      excludedIds.remove(server.incarnation().id());
    }
    return found;
  }

  /**
   * Returns the server that the chooser prefers; another one if the request would miss its target
   * there and not at that one, so that no request is refused while a server has capacity for it.
   */
  private Optional<ServerEntry> chooseServer() {
    Optional<ServerEntry> preferred = context.chooser().choose(context.state().fleet(), criteria());
    if (preferred.isEmpty() || !wouldMissTarget(preferred.get())) {
      return preferred;
    }
    Set<String> excluded = new HashSet<>(excluded());
    context.chooser().eligibleServers(context.state().fleet(), plan.service(), plan.ref()).stream()
        .filter(this::wouldMissTarget)
        .forEach(server -> excluded.add(server.incarnation().id()));
    return context
        .chooser()
        .choose(context.state().fleet(), criteria(excluded))
        .or(() -> preferred);
  }

  /** Returns the servers that have been tried, without those that may have capacity again. */
  private Set<String> excluded() {
    if (refusedUntilMillis.isEmpty()) {
      return excludedIds;
    }
    long nowMillis = context.clock().millis();
    Set<String> excluded = new HashSet<>(excludedIds);
    refusedUntilMillis.forEach(
        (id, untilMillis) -> {
          if (nowMillis < untilMillis) {
            excluded.add(id);
          }
        });
    return excluded;
  }

  /**
   * Returns the time until the request may be sent to a server again that had no capacity for it,
   * in milliseconds; empty if there is none, or if it would miss its target by then.
   */
  OptionalLong pauseMillis() {
    if (plan.ref().isEmpty() || streamBegun || refusedUntilMillis.isEmpty()) {
      return OptionalLong.empty();
    }
    long nowMillis = context.clock().millis();
    return context
        .chooser()
        .eligibleServers(context.state().fleet(), plan.service(), plan.ref())
        .stream()
        .map(server -> server.incarnation().id())
        .filter(id -> !excludedIds.contains(id) && refusedUntilMillis.containsKey(id))
        .mapToLong(refusedUntilMillis::get)
        .filter(untilMillis -> untilMillis > nowMillis && untilMillis < plan.latestStartMillis())
        .map(untilMillis -> untilMillis - nowMillis)
        .min();
  }

  /** Returns whether the request can wait for its model, or for capacity of a server. */
  boolean canWait() {
    return isModelMissing() || (!isCutOff() && pauseMillis().isPresent());
  }

  private Optional<ServerEntry> choosePeer() {
    return fromPeer ? Optional.empty() : context.peers().choose(excluded());
  }

  private boolean isCutOff() {
    return context.reach().isCutOff();
  }

  /** Binds the response to where it has begun: to a software version, or to other nodes. */
  void onResponseBegun(ServerEntry server) {
    begunAtPeer = PeerTargets.isPeer(server);
    if (begunAtPeer) {
      streamBegun = true;
    } else {
      begunAt = Optional.of(server);
      requireSoftwareVersion(server.softwareVersion());
    }
  }

  /**
   * Returns whether the response may have begun at a later process of its server, with another
   * software version than the entry by which the server was chosen.
   */
  boolean isVersionUnknown() {
    return begunAt.filter(context.state().fleet()::hasChangedVersion).isPresent();
  }

  /** Returns how the request may be sent to a server that is at its limit. */
  SendQuotas.Terms termsFor(ServerEntry server) {
    boolean hasAlternative =
        context.chooser().hasAlternative(context.state().fleet(), criteria(), server);
    return new SendQuotas.Terms(hasAlternative ? 0 : maxWaitMillis(), hasAlternative);
  }

  /** Returns the error for a request that none of the servers can accept. */
  RequestException noServerError() {
    long exhaustedMillis = context.chooser().earliestMillis(context.state().fleet(), criteria());
    return exhaustedMillis > 0
        ? GatewayErrors.atLimit(plan.description(), RetryAfter.afterMillis(exhaustedMillis))
        : GatewayErrors.noServer(plan.description(), RetryAfter.jitteredMillis());
  }

  private ServerChooser.Criteria criteria() {
    return criteria(excluded());
  }

  private ServerChooser.Criteria criteria(Set<String> excluded) {
    return new ServerChooser.Criteria(
        plan.service(),
        plan.ref(),
        plan.affinity(),
        softwareVersion,
        excluded,
        maxWaitMillis(),
        prompt());
  }

  private Optional<PromptRequest> prompt() {
    PaceTracker paces = context.chooser().paces();
    return context
        .state()
        .config()
        .flatMap(
            config ->
                plan.prompt(
                    context.clock().millis(),
                    requestBytes + paces.responseBytes(plan.route().name()),
                    paces.shortestTargetMillis(config, plan.service())));
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
        && !isCutOff()
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
   * more requests than servers can handle in time would make all of them late. Requests of a less
   * urgent priority do not count, since the server serves this one before them. A stream that goes
   * on has had its first event, and a refusal would waste what was generated.
   */
  boolean wouldMissTarget(ServerEntry server) {
    return !streamBegun
        && !PeerTargets.isPeer(server)
        && plan.route().kind() == RequestKind.STREAMING
        && context.loads().queueMillis(server.incarnation().id(), this::isServedBefore)
            > plan.route().targetLatencyMillis();
  }

  private boolean isServedBefore(Object request) {
    return !(request instanceof Attempt attempt) || attempt.priority() <= plan.priority();
  }
}
