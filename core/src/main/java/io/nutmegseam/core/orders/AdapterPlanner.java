package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.gateway.ModelSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Decides in one round which adapters are loaded on servers that have loaded their models. A load
 * is ordered only into room that is known to be free: the unload of an adapter waits for its runs,
 * and the adapter takes its place until then.
 */
final class AdapterPlanner {
  private final ServiceSnapshot snapshot;

  /** Servers that get no further order in this round. */
  private final Set<String> excludedServers;

  /** Room that orders of this round, or adapters being unloaded, have been given for. */
  private final Map<String, Room> claimedByServer = new HashMap<>();

  /** Adapters, by server, that make room for one that was placed before in this round. */
  private final Map<String, Set<ModelRef>> claimedAdaptersByServer = new HashMap<>();

  private final List<ModelOrder> orders = new ArrayList<>();
  private final Map<ModelRef, Long> readyMillisByAdapter = new HashMap<>();

  /**
   * The decisions of a round.
   *
   * @param orders orders to send now
   * @param readyMillisByAdapter monotonic time at which adapters that wait for the end of runs are
   *     expected to get room, in milliseconds
   */
  record Plan(List<ModelOrder> orders, Map<ModelRef, Long> readyMillisByAdapter) {}

  /** Adapter places and memory. */
  private record Room(int places, double megabytes) {
    private static final Room NONE = new Room(0, 0);

    private Room plus(Room other) {
      return new Room(places + other.places, megabytes + other.megabytes);
    }

    private Room minus(Room other) {
      return new Room(places - other.places, megabytes - other.megabytes);
    }

    private boolean holds(Room other) {
      return places >= other.places && megabytes >= other.megabytes;
    }
  }

  /** An adapter that may be unloaded from a server. */
  private record Candidate(ServerOrderState server, ModelRef adapter, ModelDemand demand) {
    private boolean isInUse() {
      return demand.runs().count() > 0;
    }

    private long freeMillis(long nowMillis) {
      return isInUse() ? demand.runs().endMillis() : nowMillis;
    }
  }

  private AdapterPlanner(ServiceSnapshot snapshot, Set<String> orderedServers) {
    this.snapshot = snapshot;
    this.excludedServers = new HashSet<>(orderedServers);
  }

  /**
   * Plans loads of adapters that have waiting requests, by earliest deadline first. Where no server
   * has room, another adapter is unloaded: one that no request uses, or else one whose runs have
   * ended before the waiting requests give up.
   *
   * @param snapshot state of the service
   * @param orderedServers ids of the servers that get another order in this round
   */
  static Plan plan(ServiceSnapshot snapshot, Set<String> orderedServers) {
    AdapterPlanner planner = new AdapterPlanner(snapshot, orderedServers);
    snapshot.demandByModel().entrySet().stream()
        .filter(entry -> entry.getKey().isAdapter() && entry.getValue().waiting() > 0)
        .filter(entry -> !planner.isLoadedOrPending(entry.getKey()))
        .sorted(
            Comparator.<Map.Entry<ModelRef, ModelDemand>>comparingLong(
                    entry -> entry.getValue().earliestDeadlineMillis())
                .thenComparing(entry -> entry.getKey().toString()))
        .forEach(entry -> planner.place(entry.getKey(), entry.getValue().earliestDeadlineMillis()));
    return new Plan(planner.orders, planner.readyMillisByAdapter);
  }

  private boolean isLoadedOrPending(ModelRef ref) {
    return snapshot.servers().stream()
        .anyMatch(
            s ->
                s.servesAdapter(ref)
                    || s.pending()
                        .filter(order -> order.operation() == ModelOrder.Operation.LOAD)
                        .filter(order -> order.ref().equals(ref))
                        .isPresent());
  }

  private void place(ModelRef ref, long deadlineMillis) {
    ModelSpec spec = snapshot.engine().models().get(ref.model());
    if (spec == null) {
      return;
    }
    Room needed = new Room(1, spec.adapterMegabytes());
    List<ServerOrderState> servers =
        snapshot.servers().stream()
            .filter(s -> s.serves(ref.model()) && !s.unloadingAdapters().contains(ref))
            .sorted(
                Comparator.<ServerOrderState>comparingInt(s -> s.entry().inventory().adapterCount())
                    .thenComparing(ServerOrderState::id))
            .toList();
    if (!load(ref, needed, servers) && !awaitRoom(ref, needed, servers)) {
      unload(ref, needed, servers, deadlineMillis);
    }
  }

  /** Loads an adapter on a server with room that no other one waits for. */
  private boolean load(ModelRef ref, Room needed, List<ServerOrderState> servers) {
    Optional<ServerOrderState> server =
        servers.stream()
            .filter(this::canBeOrdered)
            .filter(s -> freeRoom(s).minus(claimedOn(s)).holds(needed))
            .findFirst();
    server.ifPresent(
        s -> {
          claim(s, needed);
          order(s, ModelOrder.Operation.LOAD, ref);
        });
    return server.isPresent();
  }

  /** Waits for room that orders in progress will free and that no other adapter waits for. */
  private boolean awaitRoom(ModelRef ref, Room needed, List<ServerOrderState> servers) {
    Optional<ServerOrderState> server =
        servers.stream()
            .filter(AdapterPlanner::acceptsOrdersSoon)
            .filter(s -> freeRoom(s).plus(expectedRoom(s)).minus(claimedOn(s)).holds(needed))
            .min(Comparator.comparingLong(this::expectedRoomMillis));
    server.ifPresent(
        s -> {
          claim(s, needed);
          announce(ref, expectedRoomMillis(s));
        });
    return server.isPresent();
  }

  private void unload(
      ModelRef ref, Room needed, List<ServerOrderState> servers, long deadlineMillis) {
    List<Candidate> candidates =
        servers.stream()
            .filter(AdapterPlanner::acceptsOrdersSoon)
            .flatMap(this::candidates)
            .toList();
    Optional<Candidate> chosen =
        candidates.stream()
            .filter(candidate -> candidate.freeMillis(snapshot.nowMillis()) < deadlineMillis)
            .filter(candidate -> !candidate.isInUse() || !isUnloading(ref))
            .min(
                Comparator.comparing(Candidate::isInUse)
                    .thenComparingDouble(candidate -> candidate.demand().ratePerSecond())
                    .thenComparing(candidate -> candidate.adapter().toString()));
    if (chosen.isPresent()) {
      Candidate candidate = chosen.get();
      claimedAdaptersByServer
          .computeIfAbsent(candidate.server().id(), id -> new HashSet<>())
          .add(candidate.adapter());
      // A server gets one order a round; no adapter in use elsewhere is unloaded instead.
      if (canBeOrdered(candidate.server())) {
        claim(candidate.server(), needed);
        order(candidate.server(), ModelOrder.Operation.UNLOAD, candidate.adapter());
      }
    } else {
      // Its requests can be rejected now.
      candidates.stream()
          .mapToLong(candidate -> candidate.freeMillis(snapshot.nowMillis()))
          .min()
          .ifPresent(millis -> announce(ref, millis));
    }
  }

  /**
   * Returns whether an adapter has to make room for another one. Until it has, it displaces none
   * that is in use; else adapters that are all in use would displace one another at the same time.
   */
  private boolean isUnloading(ModelRef ref) {
    return snapshot.servers().stream().anyMatch(s -> s.unloadingAdapters().contains(ref));
  }

  private void announce(ModelRef ref, long readyMillis) {
    if (readyMillis != Long.MAX_VALUE) {
      readyMillisByAdapter.put(ref, readyMillis);
    }
  }

  /** Returns the adapters on a server that may be unloaded: no request waits for them. */
  private Stream<Candidate> candidates(ServerOrderState server) {
    Set<ModelRef> claimed = claimedAdaptersByServer.getOrDefault(server.id(), Set.of());
    return loadedAdapters(server.entry().inventory())
        .filter(adapter -> !server.unloadingAdapters().contains(adapter))
        .filter(adapter -> !claimed.contains(adapter))
        .map(adapter -> new Candidate(server, adapter, demand(adapter)))
        .filter(candidate -> candidate.demand().waiting() == 0);
  }

  private static Stream<ModelRef> loadedAdapters(Inventory inventory) {
    return inventory.adaptersByModel().entrySet().stream()
        .flatMap(
            loaded ->
                loaded.getValue().stream().map(adapter -> new ModelRef(loaded.getKey(), adapter)));
  }

  private boolean canBeOrdered(ServerOrderState server) {
    return server.canAcceptOrder() && !excludedServers.contains(server.id());
  }

  /** Returns whether a server has at most the order of an adapter in flight, which is short. */
  private static boolean acceptsOrdersSoon(ServerOrderState server) {
    return server.conduct().responds()
        && !server.entry().draining()
        && !server.entry().inventory().busy()
        && server.pending().map(order -> order.ref().isAdapter()).orElse(true);
  }

  private void order(ServerOrderState server, ModelOrder.Operation operation, ModelRef ref) {
    excludedServers.add(server.id());
    orders.add(new ModelOrder(server.entry().incarnation(), operation, ref, LoadSource.NONE));
  }

  private void claim(ServerOrderState server, Room room) {
    claimedByServer.merge(server.id(), room, Room::plus);
  }

  private Room claimedOn(ServerOrderState server) {
    return claimedByServer.getOrDefault(server.id(), Room.NONE);
  }

  private Room freeRoom(ServerOrderState server) {
    int pendingLoads =
        (int)
            server.pending().stream()
                .filter(order -> order.operation() == ModelOrder.Operation.LOAD)
                .filter(order -> order.ref().isAdapter())
                .count();
    int taken = server.entry().inventory().adapterCount() + pendingLoads;
    return new Room(
        snapshot.engine().adapterSlots() - taken,
        MemoryUse.freeMegabytes(snapshot.engine(), server));
  }

  /** Returns the room of the adapters that are being unloaded. */
  private Room expectedRoom(ServerOrderState server) {
    return unloading(server)
        .map(adapter -> new Room(1, MemoryUse.adapterMegabytes(snapshot.engine(), adapter)))
        .reduce(Room.NONE, Room::plus);
  }

  private long expectedRoomMillis(ServerOrderState server) {
    return unloading(server)
        .mapToLong(adapter -> demand(adapter).runs().endMillis())
        .reduce(snapshot.nowMillis(), Math::max);
  }

  private static Stream<ModelRef> unloading(ServerOrderState server) {
    Stream<ModelRef> pending =
        server.pending().stream()
            .filter(order -> order.operation() == ModelOrder.Operation.UNLOAD)
            .map(ModelOrder::ref)
            .filter(ModelRef::isAdapter);
    return Stream.concat(pending, server.unloadingAdapters().stream()).distinct();
  }

  private ModelDemand demand(ModelRef ref) {
    return snapshot.demandByModel().getOrDefault(ref, ModelDemand.NONE);
  }
}
