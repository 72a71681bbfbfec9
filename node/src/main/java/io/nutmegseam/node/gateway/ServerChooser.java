package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.routing.RendezvousHash;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Chooses the server of a request. Confined to the traffic thread. */
final class ServerChooser {
  /** Load that a cached prompt is worth, as a share of a server's slots. */
  private static final double AFFINITY_SLACK = 0.25;

  /** A queue of this length is as bad as a server whose slots are all taken, in milliseconds. */
  private static final double QUEUE_MILLIS_PER_SLOT_SHARE = 1_000;

  /** A server in another data centre is worse by this share of its slots. */
  private static final double DISTANCE_PENALTY = 0.02;

  /** Of so few servers the least loaded one is chosen. */
  private static final int FEW_SERVERS = 4;

  /** Less than one request more or less changes the load of a server. */
  private static final double TIE_BREAK = 1e-3;

  private final String dataCentre;
  private final ServerLoads loads;
  private final RandomGenerator random;
  private final InstantSource clock;

  /** A model that a server denies to hold is not asked of it for this time. */
  private static final long DENIED_MILLIS = 1_000;

  /** Models that a server has denied to hold, with the time until which it is not asked again. */
  private final Map<String, Map<ModelRef, Long>> deniedByServer = new HashMap<>();

  /**
   * What a request needs of a server.
   *
   * @param service name of the service
   * @param ref its model; empty for a plain service
   * @param affinity the shared part of the prompt; empty if there is none
   * @param excluded servers that have already been tried
   */
  record Need(String service, Optional<ModelRef> ref, String affinity, Set<String> excluded) {}

  /**
   * Creates a chooser.
   *
   * @param dataCentre the node's data centre
   * @param loads load of the servers
   * @param random source of random choices
   * @param clock monotonic clock
   */
  ServerChooser(String dataCentre, ServerLoads loads, RandomGenerator random, InstantSource clock) {
    this.dataCentre = dataCentre;
    this.loads = loads;
    this.random = random;
    this.clock = clock;
  }

  /** Notes that a server does not hold a model although its entry says so. */
  void onDenied(ServerEntry entry, ModelRef ref) {
    long nowMillis = clock.millis();
    deniedByServer
        .values()
        .removeIf(denied -> denied.values().stream().allMatch(until -> until <= nowMillis));
    deniedByServer
        .computeIfAbsent(entry.incarnation().toString(), s -> new HashMap<>())
        .put(ref, nowMillis + DENIED_MILLIS);
  }

  /** Returns the servers that hold what a request needs, whether or not they have been tried. */
  List<ServerEntry> holders(Fleet fleet, String service, Optional<ModelRef> ref) {
    List<ServerEntry> holders = new ArrayList<>();
    for (ServerEntry entry : fleet.ofService(service)) {
      if (!entry.draining() && (ref.isEmpty() || holds(entry, ref.get()))) {
        holders.add(entry);
      }
    }
    return holders;
  }

  /** Chooses a server, or returns empty if no server can take the request now. */
  Optional<ServerEntry> choose(Fleet fleet, Need need) {
    List<ServerEntry> candidates = holders(fleet, need.service(), need.ref());
    candidates.removeIf(entry -> need.excluded().contains(entry.incarnation().id()));
    List<ServerEntry> healthy =
        candidates.stream().filter(e -> !loads.isAvoided(e.incarnation().id())).toList();
    List<ServerEntry> pool = healthy.isEmpty() ? candidates : healthy;
    if (pool.size() <= 1) {
      return pool.stream().findFirst();
    }
    if (need.affinity().isEmpty() && pool.size() > FEW_SERVERS) {
      return Optional.of(better(pool));
    }
    ServerEntry least =
        pool.stream()
            .min(Comparator.comparingDouble(e -> cost(e) + random.nextDouble() * TIE_BREAK))
            .orElseThrow();
    if (need.affinity().isEmpty()) {
      return Optional.of(least);
    }
    double limit = cost(least) + AFFINITY_SLACK;
    return pool.stream()
        .filter(entry -> cost(entry) <= limit)
        .max(Comparator.comparingLong(e -> RendezvousHash.weight(need.affinity(), id(e))));
  }

  /**
   * Returns the less loaded of two servers drawn at random. What is known of their load is of some
   * hundred milliseconds ago; if all nodes chose the least loaded one, it would be the most loaded.
   */
  private ServerEntry better(List<ServerEntry> pool) {
    int first = random.nextInt(pool.size());
    int second = random.nextInt(pool.size() - 1);
    ServerEntry one = pool.get(first);
    ServerEntry other = pool.get(second < first ? second : second + 1);
    return cost(one) <= cost(other) ? one : other;
  }

  private double cost(ServerEntry entry) {
    double distance = entry.dataCentre().equals(dataCentre) ? 0 : DISTANCE_PENALTY;
    double queue = loads.queueMillis(id(entry)) / QUEUE_MILLIS_PER_SLOT_SHARE;
    return loads.utilisation(entry) + distance + queue;
  }

  private static String id(ServerEntry entry) {
    return entry.incarnation().id();
  }

  private boolean holds(ServerEntry entry, ModelRef ref) {
    if (!entry.inventory().holds(ref)) {
      return false;
    }
    Map<ModelRef, Long> denied = deniedByServer.get(entry.incarnation().toString());
    Long untilMillis = denied == null ? null : denied.get(ref);
    return untilMillis == null || untilMillis <= clock.millis();
  }
}
