package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.fleet.VersionHistory;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.gateway.Route;
import io.nutmegseam.core.gateway.RouteHistory;
import io.nutmegseam.core.quota.ServerLimits;
import io.nutmegseam.node.tenant.ProofState;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/** State that the traffic thread reads: snapshots of the control thread, and shutdown flags. */
public final class GatewayState {
  /** The oldest ones are forgotten beyond this number. */
  private static final int MAX_LEAVING_SERVERS = 10_000;

  private volatile GatewayConfig config;
  private final Set<Incarnation> leavingServers = new LinkedHashSet<>();
  private volatile Fleet fleet = Fleet.EMPTY;
  private volatile VersionHistory versions = VersionHistory.EMPTY;
  private volatile RouteHistory routes = RouteHistory.EMPTY;
  private volatile ExpectedLoadTimes expectedLoadTimes = ExpectedLoadTimes.NONE;
  private volatile Map<String, ServerLimits> limitsByProcess = Map.of();
  private volatile boolean reachesServers = true;
  private volatile boolean servesRequests = true;
  private volatile boolean maySendOrders = true;
  private volatile boolean fleetPublished;
  private volatile Optional<DrainWindow> drain = Optional.empty();
  private volatile boolean closed;
  private volatile Supplier<ProofState> configProof = () -> ProofState.NOT_REQUIRED;

  /** Publishes the active configuration. */
  public void setConfig(GatewayConfig next) {
    config = next;
  }

  /** Sets what tells whether the configuration is provably young enough to admit keys. */
  void setConfigProof(Supplier<ProofState> next) {
    configProof = next;
  }

  /** Returns whether the configuration is provably young enough to admit keys. */
  ProofState configProof() {
    return configProof.get();
  }

  /** Returns whether any route can be served: public ones, or all while keys are admitted. */
  private boolean servesAnyRoute() {
    GatewayConfig present = config;
    return configProof().proven()
        || present.tenants().isEmpty()
        || present.routes().stream().anyMatch(Route::isPublic);
  }

  /** Publishes the servers. Those that said that they are leaving are draining in it. */
  public void setFleet(Fleet next) {
    synchronized (leavingServers) {
      fleet = next.withDraining(leavingServers);
      fleetPublished = true;
    }
  }

  /**
   * Makes a server draining for as long as its process lasts, whatever the platform says of it.
   *
   * @return whether it was not known to be leaving
   */
  boolean addLeaving(Incarnation server) {
    synchronized (leavingServers) {
      boolean added = leavingServers.add(server);
      if (added) {
        leavingServers.stream()
            .limit(Math.max(0, leavingServers.size() - MAX_LEAVING_SERVERS))
            .toList()
            .forEach(leavingServers::remove);
        fleet = fleet.withDraining(leavingServers);
      }
      return added;
    }
  }

  /** Publishes the software versions that the servers had. */
  void setVersions(VersionHistory next) {
    versions = next;
  }

  /** Publishes where the routes led. */
  void setRoutes(RouteHistory next) {
    routes = next;
  }

  /** Publishes the expected load times of models. */
  void setExpectedLoadTimes(ExpectedLoadTimes next) {
    expectedLoadTimes = next;
  }

  /** Publishes the limits of the processes that name any. */
  void setLimits(Map<String, ServerLimits> next) {
    limitsByProcess = next;
  }

  /**
   * Publishes whether this node reaches servers, and whether it can serve requests all the same.
   *
   * @param reach which servers it reaches
   * @param peerAvailable whether another node takes its requests
   */
  void setReach(ServerReach.Reach reach, boolean peerAvailable) {
    reachesServers = reach == ServerReach.Reach.FULL;
    servesRequests = reach != ServerReach.Reach.NONE || peerAvailable;
  }

  /** Publishes whether this node is fit to send orders, or no other node that it knows is. */
  void setMaySendOrders(boolean next) {
    maySendOrders = next;
  }

  /** Returns whether the node reaches most servers. */
  boolean reachesServers() {
    return reachesServers;
  }

  /** Returns whether the node is fit to send orders, or no other node that it knows is. */
  boolean maySendOrders() {
    return maySendOrders;
  }

  /** Returns whether the node takes requests that other nodes cannot send to a server. */
  boolean takesPeerRequests() {
    return config != null && fleetPublished && reachesServers && !isStopping();
  }

  /** Makes the node accept no further requests, since its process is about to exit. */
  public void setClosed() {
    closed = true;
  }

  /**
   * Returns whether a request is admitted: a node that is shutting down takes none that it could
   * have to cut.
   *
   * @param nowMillis present monotonic time
   * @param deadlineMillis monotonic time of the request's deadline
   */
  boolean admits(long nowMillis, long deadlineMillis) {
    return !closed && drain.map(window -> window.admits(nowMillis, deadlineMillis)).orElse(true);
  }

  /** Marks the node as shutting down; it is not ready from then on. */
  void setStopping(DrainWindow window) {
    drain = Optional.of(window);
  }

  /** Returns the active configuration, or empty if none has been published. */
  public Optional<GatewayConfig> config() {
    return Optional.ofNullable(config);
  }

  /** Returns the servers; empty until they have been published. */
  public Fleet fleet() {
    return fleet;
  }

  /** Returns the software versions that the servers had. */
  VersionHistory versions() {
    return versions;
  }

  /** Returns where the routes led. */
  RouteHistory routes() {
    return routes;
  }

  /** Returns the limits that a server names. */
  ServerLimits limits(Incarnation server) {
    return limitsByProcess.getOrDefault(server.toString(), ServerLimits.NONE);
  }

  /** Returns the expected load times of models. */
  ExpectedLoadTimes expectedLoadTimes() {
    return expectedLoadTimes;
  }

  /**
   * Returns whether a server is listed in its present incarnation and not draining, so that the end
   * of its process would not be planned.
   */
  boolean isServing(ServerEntry server) {
    return servingEntry(server)
        .filter(entry -> entry.incarnation().equals(server.incarnation()))
        .isPresent();
  }

  /**
   * Returns whether a server is listed in any incarnation and not draining. A request that was sent
   * to the process of an earlier start may run in the one of a later start.
   */
  boolean isServingInAnyIncarnation(ServerEntry server) {
    return servingEntry(server).isPresent();
  }

  private Optional<ServerEntry> servingEntry(ServerEntry server) {
    return fleet.entry(server.incarnation().id()).filter(entry -> !entry.draining());
  }

  /** Returns whether the process with an incarnation of a text is listed. */
  boolean isListed(String process) {
    return fleet.entries().stream()
        .anyMatch(entry -> entry.incarnation().toString().equals(process));
  }

  /**
   * Returns whether the node has a configuration and its servers, reaches a server or another node
   * that does, can serve a route, and is not shutting down.
   */
  public boolean isReady() {
    return config != null && fleetPublished && servesRequests && servesAnyRoute() && !isStopping();
  }

  /** Returns whether the node is shutting down. */
  public boolean isStopping() {
    return drain.isPresent();
  }
}
