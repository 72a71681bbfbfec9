package io.nutmegseam.node.control;

import io.nutmegseam.core.coldstart.Demand;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.placement.PlacementRules;
import io.nutmegseam.node.peer.PeerTransport;
import io.nutmegseam.node.peer.generated.DemandNotice;
import io.nutmegseam.node.peer.generated.PeerFrame;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Aggregates the waiting requests of a unit into one demand and sends it to the owner of the server
 * that should load the unit. With coalescing, nodes that have the same server states choose the
 * same server, so that a burst of requests at many nodes causes a single load.
 */
final class DemandControl {
  private final NodeContext context;
  private final WaitingRequestRegistry waitingRequests;
  private final PeerTransport transport;
  private final OwnershipControl ownership;
  private final Function<String, String> ownerOf;
  private final RandomGenerator random;
  private Set<String> lastUnits = new HashSet<>();

  DemandControl(
      NodeContext context,
      WaitingRequestRegistry waitingRequests,
      PeerTransport transport,
      OwnershipControl ownership,
      Function<String, String> ownerOf,
      RandomGenerator random) {
    this.context = context;
    this.waitingRequests = waitingRequests;
    this.transport = transport;
    this.ownership = ownership;
    this.ownerOf = ownerOf;
    this.random = random;
  }

  /** Sends the demand for every unit that has waiting requests and should be loaded. */
  void tick(RoutingTable table) {
    Map<String, List<WaitingRequestRegistry.Entry>> requestsByUnit = waitingRequests.snapshot();
    Set<String> units = new HashSet<>();
    requestsByUnit.forEach(
        (unit, requests) -> {
          units.add(unit);
          Optional<String> target = chooseServer(unit, requests, table);
          target.ifPresent(server -> sendDemand(unit, server, requests));
        });
    lastUnits = units;
  }

  /** Records the demand that a node sent, if this node owns the server. */
  void onNotice(String node, DemandNotice notice) {
    long nowMillis = context.nowMillis();
    Demand demand =
        new Demand(
            notice.getUnit(),
            notice.getWaiting(),
            notice.getInteractive(),
            nowMillis + notice.getEarliestRemainingMillis(),
            nowMillis + notice.getLatestRemainingMillis(),
            nowMillis - notice.getWaitedMillis());
    ownership.ownedServer(notice.getServer()).ifPresent(server -> server.onDemand(node, demand));
  }

  /**
   * Returns the server that should load a unit: the one that loads it already, else one of those
   * that may load it. Returns empty if the unit is loaded and no request needs a scale-up.
   */
  private Optional<String> chooseServer(
      String unit, List<WaitingRequestRegistry.Entry> requests, RoutingTable table) {
    List<String> placed =
        PlacementRules.allowedServers(unit, table.catalog(), table.placements()).stream()
            .filter(server -> isUsable(server, table))
            .toList();
    Optional<String> loading =
        placed.stream().filter(s -> view(s, table).loadingUnits().contains(unit)).findFirst();
    if (loading.isPresent()) {
      return loading;
    }
    boolean needsScaleUp = requests.stream().anyMatch(WaitingRequestRegistry.Entry::needsScaleUp);
    boolean loaded = !table.serversWith(unit).isEmpty();
    if (loaded && !needsScaleUp) {
      return Optional.empty();
    }
    List<String> missing =
        placed.stream().filter(s -> !view(s, table).loadedUnits().contains(unit)).toList();
    return pick(missing, table.catalog().policy().coalescing());
  }

  private Optional<String> pick(List<String> servers, boolean coalescing) {
    if (servers.isEmpty()) {
      return Optional.empty();
    }
    int index = coalescing ? 0 : random.nextInt(servers.size());
    return Optional.of(servers.get(index));
  }

  private boolean isUsable(String server, RoutingTable table) {
    String owner = ownerOf.apply(server);
    boolean ownerReachable =
        owner.equals(context.node()) || transport.connectedNodes().contains(owner);
    return ownerReachable && !table.isLeaving(server) && view(server, table).reachable();
  }

  private static ServerView view(String server, RoutingTable table) {
    return table.view(server).orElse(ServerView.unknown(server));
  }

  private void sendDemand(String unit, String server, List<WaitingRequestRegistry.Entry> requests) {
    if (!lastUnits.contains(unit)) {
      context
          .events()
          .record(EventKind.DEMAND_RAISED, unit, server + ", waiting requests: " + requests.size());
    }
    DemandNotice notice = notice(unit, server, requests);
    String owner = ownerOf.apply(server);
    if (owner.equals(context.node())) {
      onNotice(context.node(), notice);
    } else {
      transport.send(owner, PeerFrame.newBuilder().setDemandNotice(notice));
    }
  }

  private DemandNotice notice(
      String unit, String server, List<WaitingRequestRegistry.Entry> requests) {
    long nowMillis = context.nowMillis();
    long earliestMillis =
        requests.stream().mapToLong(WaitingRequestRegistry.Entry::deadlineMillis).min().orElse(0);
    long latestMillis =
        requests.stream().mapToLong(WaitingRequestRegistry.Entry::deadlineMillis).max().orElse(0);
    long waitingSinceMillis =
        requests.stream()
            .mapToLong(WaitingRequestRegistry.Entry::waitingSinceMillis)
            .min()
            .orElse(0);
    return DemandNotice.newBuilder()
        .setUnit(unit)
        .setServer(server)
        .setWaiting(requests.size())
        .setInteractive(requests.stream().anyMatch(WaitingRequestRegistry.Entry::interactive))
        .setEarliestRemainingMillis(earliestMillis - nowMillis)
        .setLatestRemainingMillis(latestMillis - nowMillis)
        .setWaitedMillis(nowMillis - waitingSinceMillis)
        .build();
  }
}
