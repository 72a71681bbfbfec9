package io.nutmegseam.node.control;

import io.nutmegseam.core.coldstart.Demand;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.placement.PlacementRules;
import io.nutmegseam.node.peer.Outbox;
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
 * Turns waiting requests into one demand a unit and sends it to the owner of the server that should
 * load the unit. Every node picks the same server from the same facts, so that a burst at many
 * nodes causes one load.
 */
final class DemandControl {
  private final NodeContext context;
  private final WaitBoard waits;
  private final Outbox outbox;
  private final OwnershipControl ownership;
  private final Function<String, String> ownerOf;
  private final RandomGenerator random;
  private Set<String> raised = new HashSet<>();

  DemandControl(
      NodeContext context,
      WaitBoard waits,
      Outbox outbox,
      OwnershipControl ownership,
      Function<String, String> ownerOf,
      RandomGenerator random) {
    this.context = context;
    this.waits = waits;
    this.outbox = outbox;
    this.ownership = ownership;
    this.ownerOf = ownerOf;
    this.random = random;
  }

  /** Sends the demand of every unit that requests wait for. */
  void tick(RoutingTable table) {
    Map<String, List<WaitBoard.Ticket>> snapshot = waits.snapshot();
    Set<String> nextRaised = new HashSet<>();
    snapshot.forEach(
        (unit, tickets) -> {
          nextRaised.add(unit);
          Optional<String> target = target(unit, tickets, table);
          target.ifPresent(server -> raise(unit, server, tickets));
        });
    raised = nextRaised;
  }

  /** Takes in the notice of a peer, if this node owns the server. */
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

  private Optional<String> target(String unit, List<WaitBoard.Ticket> tickets, RoutingTable table) {
    List<String> placed =
        PlacementRules.allowedServers(unit, table.catalog(), table.placements()).stream()
            .filter(server -> isUsable(server, table))
            .toList();
    Optional<String> loading =
        placed.stream().filter(s -> view(s, table).loadingUnits().contains(unit)).findFirst();
    if (loading.isPresent()) {
      return loading;
    }
    boolean scaleUp = tickets.stream().anyMatch(WaitBoard.Ticket::scaleUp);
    boolean loaded = !table.serversWith(unit).isEmpty();
    if (loaded && !scaleUp) {
      return Optional.empty();
    }
    List<String> missing =
        placed.stream().filter(s -> !view(s, table).loadedUnits().contains(unit)).toList();
    return choose(missing, table.catalog().policy().coalescing());
  }

  private Optional<String> choose(List<String> servers, boolean coalescing) {
    if (servers.isEmpty()) {
      return Optional.empty();
    }
    int index = coalescing ? 0 : random.nextInt(servers.size());
    return Optional.of(servers.get(index));
  }

  private boolean isUsable(String server, RoutingTable table) {
    String owner = ownerOf.apply(server);
    boolean ownerInReach = owner.equals(context.node()) || outbox.connected().contains(owner);
    return ownerInReach && !table.isLeaving(server) && view(server, table).reachable();
  }

  private static ServerView view(String server, RoutingTable table) {
    return table.view(server).orElse(ServerView.unknown(server));
  }

  private void raise(String unit, String server, List<WaitBoard.Ticket> tickets) {
    if (!raised.contains(unit)) {
      context.events().record(EventKind.DEMAND_RAISED, unit, server + " for " + tickets.size());
    }
    DemandNotice notice = notice(unit, server, tickets);
    String owner = ownerOf.apply(server);
    if (owner.equals(context.node())) {
      onNotice(context.node(), notice);
    } else {
      outbox.send(owner, PeerFrame.newBuilder().setDemandNotice(notice));
    }
  }

  private DemandNotice notice(String unit, String server, List<WaitBoard.Ticket> tickets) {
    long nowMillis = context.nowMillis();
    long earliest = tickets.stream().mapToLong(WaitBoard.Ticket::deadlineMillis).min().orElse(0);
    long latest = tickets.stream().mapToLong(WaitBoard.Ticket::deadlineMillis).max().orElse(0);
    long since = tickets.stream().mapToLong(WaitBoard.Ticket::sinceMillis).min().orElse(0);
    return DemandNotice.newBuilder()
        .setUnit(unit)
        .setServer(server)
        .setWaiting(tickets.size())
        .setInteractive(tickets.stream().anyMatch(WaitBoard.Ticket::interactive))
        .setEarliestRemainingMillis(earliest - nowMillis)
        .setLatestRemainingMillis(latest - nowMillis)
        .setWaitedMillis(nowMillis - since)
        .build();
  }
}
