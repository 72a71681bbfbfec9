package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.pace.PromptRequest;
import io.nutmegseam.core.routing.RendezvousHash;
import io.nutmegseam.node.pace.FirstEventTimer;
import io.nutmegseam.node.pace.PaceChooser;
import io.nutmegseam.node.pace.PaceTracker;
import io.nutmegseam.node.quota.SendQuotas;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Chooses the server for a request. Confined to the traffic thread. */
final class ServerChooser {
  /**
   * Additional cost that is accepted for the server that caches the prompt, as a share of slots.
   */
  private static final double AFFINITY_SLACK = 0.25;

  /** A queue of this many milliseconds costs as much as a server whose slots are all in use. */
  private static final double QUEUE_MILLIS_PER_SLOT_SHARE = 1_000;

  /** Additional cost of a server in another data centre, as a share of its slots. */
  private static final double DISTANCE_PENALTY = 0.02;

  /**
   * Plain requests stay in their data centre while a server there uses at most this share of its
   * slots; reported loads are old, and a server whose last slot is taken makes requests late.
   */
  private static final double NEAR_UTILISATION = 0.75;

  /** Up to this number of servers, the least loaded one is chosen; else the less loaded of two. */
  private static final int MAX_SERVERS_TO_COMPARE = 4;

  /** Upper bound of the random cost that breaks ties; less than the cost of one request. */
  private static final double TIE_BREAK = 1e-3;

  private final String dataCentre;
  private final ServerLoads loads;
  private final SendQuotas quotas;
  private final RandomGenerator random;
  private final InstantSource clock;
  private final PaceTracker paces;
  private final PaceChooser paceChooser;

  /** A server that reported a model as not loaded gets no requests for that model for this time. */
  private static final long MISSING_MODEL_MILLIS = 1_000;

  /** Models that each server reported as not loaded, with the time until which it is excluded. */
  private final Map<String, Map<ModelRef, Long>> missingByServer = new HashMap<>();

  /**
   * Requirements of a request for its server.
   *
   * @param service name of the service
   * @param ref the requested model; empty for a service without models
   * @param affinity the shared part of the prompt; empty if there is none
   * @param softwareVersion version that the server must have, since it goes on with a stream; empty
   *     if any version will do
   * @param excluded ids of servers that have already been tried
   * @param maxWaitMillis longest time for which the request can wait for a server that is at its
   *     limit, in milliseconds
   * @param prompt the prompt of a streaming request that says its size; else empty
   */
  record Criteria(
      String service,
      Optional<ModelRef> ref,
      String affinity,
      Optional<String> softwareVersion,
      Set<String> excluded,
      long maxWaitMillis,
      Optional<PromptRequest> prompt) {
    /** Creates requirements of a request without the size of its prompt. */
    Criteria(
        String service,
        Optional<ModelRef> ref,
        String affinity,
        Optional<String> softwareVersion,
        Set<String> excluded,
        long maxWaitMillis) {
      this(service, ref, affinity, softwareVersion, excluded, maxWaitMillis, Optional.empty());
    }

    private boolean admits(ServerEntry entry) {
      return !excluded.contains(entry.incarnation().id())
          && softwareVersion.map(entry.softwareVersion()::equals).orElse(true);
    }
  }

  /**
   * Creates a chooser.
   *
   * @param dataCentre data centre of this node
   * @param loads load of the servers
   * @param quotas limits of the servers
   * @param random source of random numbers
   * @param clock monotonic clock
   * @param paces speed of the servers
   */
  ServerChooser(
      String dataCentre,
      ServerLoads loads,
      SendQuotas quotas,
      RandomGenerator random,
      InstantSource clock,
      PaceTracker paces) {
    this.dataCentre = dataCentre;
    this.loads = loads;
    this.quotas = quotas;
    this.random = random;
    this.clock = clock;
    this.paces = paces;
    this.paceChooser =
        new PaceChooser(
            dataCentre,
            paces,
            new PaceChooser.Loads(loads::utilisation, loads::queueMillis),
            random);
  }

  /** Returns the speed of the servers. */
  PaceTracker paces() {
    return paces;
  }

  /** Returns the measurement of a request that is about to be sent to a server. */
  FirstEventTimer timer(ServerEntry server, RequestPlan plan, TrafficContext context) {
    long shortestMillis =
        context
            .state()
            .config()
            .map(config -> paces.shortestTargetMillis(config, plan.service()))
            .orElse(Long.MAX_VALUE);
    return paces.timer(
        server,
        plan.route(),
        plan.targetMillis() - plan.route().targetLatencyMillis(),
        promptKey(plan.ref(), plan.affinity()),
        PeerTargets.isPeer(server)
            ? Optional.empty()
            : plan.prompt(clock.millis(), 0, shortestMillis),
        loads.utilisation(server) <= 1);
  }

  private static String promptKey(Optional<ModelRef> ref, String affinity) {
    return affinity.isEmpty() ? "" : ref.map(ModelRef::toString).orElse("") + "\n" + affinity;
  }

  /** Records that a server has not loaded a model although its entry lists it. */
  void onModelMissing(ServerEntry entry, ModelRef ref) {
    long nowMillis = clock.millis();
    missingByServer
        .values()
        .removeIf(
            missing -> missing.values().stream().allMatch(untilMillis -> untilMillis <= nowMillis));
    missingByServer
        .computeIfAbsent(entry.incarnation().toString(), s -> new HashMap<>())
        .put(ref, nowMillis + MISSING_MODEL_MILLIS);
  }

  /**
   * Returns the servers of a service that are not draining and have loaded the model, including
   * those that have already been tried.
   */
  List<ServerEntry> eligibleServers(Fleet fleet, String service, Optional<ModelRef> ref) {
    List<ServerEntry> eligible = new ArrayList<>();
    for (ServerEntry entry : fleet.entriesOfService(service)) {
      if (!entry.draining() && (ref.isEmpty() || hasModel(entry, ref.get()))) {
        eligible.add(entry);
      }
    }
    return eligible;
  }

  /** Returns the chosen server, or empty if no server can accept the request now. */
  Optional<ServerEntry> choose(Fleet fleet, Criteria criteria) {
    List<ServerEntry> candidates = candidates(fleet, criteria);
    boolean unlimited = candidates.stream().anyMatch(e -> isUsable(e) && !isLimited(e));
    candidates.removeIf(e -> isExhausted(e, unlimited, criteria.maxWaitMillis()));
    List<ServerEntry> healthy = candidates.stream().filter(this::isUsable).toList();
    List<ServerEntry> pool = healthy.isEmpty() ? candidates : healthy;
    if (pool.size() <= 1) {
      return pool.stream().findFirst();
    }
    return chooseByPace(pool, criteria).or(() -> chooseByLoad(pool, criteria));
  }

  private Optional<ServerEntry> chooseByPace(List<ServerEntry> pool, Criteria criteria) {
    String key = promptKey(criteria.ref(), criteria.affinity());
    return criteria
        .prompt()
        .flatMap(prompt -> paceChooser.choose(pool, criteria.affinity(), key, prompt));
  }

  private Optional<ServerEntry> chooseByLoad(List<ServerEntry> all, Criteria criteria) {
    List<ServerEntry> near =
        criteria.ref().isEmpty() ? all.stream().filter(this::isNearAndFree).toList() : List.of();
    List<ServerEntry> pool = near.isEmpty() ? all : near;
    if (criteria.affinity().isEmpty() && pool.size() > MAX_SERVERS_TO_COMPARE) {
      return Optional.of(lessLoadedOfTwo(pool));
    }
    ServerEntry leastLoaded =
        pool.stream()
            .min(Comparator.comparingDouble(e -> cost(e) + random.nextDouble() * TIE_BREAK))
            .orElseThrow();
    if (criteria.affinity().isEmpty()) {
      return Optional.of(leastLoaded);
    }
    double limit = cost(leastLoaded) + AFFINITY_SLACK;
    return pool.stream()
        .filter(entry -> cost(entry) <= limit)
        .max(Comparator.comparingLong(e -> RendezvousHash.weight(criteria.affinity(), id(e))));
  }

  /** Returns whether a server without limit can serve a request as well as a certain one. */
  boolean hasAlternative(Fleet fleet, Criteria criteria, ServerEntry server) {
    return candidates(fleet, criteria).stream()
        .anyMatch(e -> !id(e).equals(id(server)) && isUsable(e) && !isLimited(e));
  }

  /**
   * Returns the time until the first of the servers for a request may be sent one, in milliseconds,
   * if all of them are at their limits; else 0.
   */
  long exhaustedMillis(Fleet fleet, Criteria criteria) {
    return candidates(fleet, criteria).stream()
        .mapToLong(e -> quotas.exhaustedMillis(e.incarnation(), false))
        .min()
        .orElse(0);
  }

  /**
   * Returns the time until the first server of a service that has loaded the model may be sent a
   * request, in milliseconds, also if the request has been tried there; 0 if nothing says that none
   * may be sent now.
   */
  long earliestMillis(Fleet fleet, Criteria criteria) {
    return eligibleServers(fleet, criteria.service(), criteria.ref()).stream()
        .mapToLong(e -> quotas.exhaustedMillis(e.incarnation(), false))
        .min()
        .orElse(0);
  }

  /**
   * Returns whether no server has loaded the model of a request, or all servers that have it are at
   * their limits while the service has a server without limit.
   */
  boolean isModelMissing(Fleet fleet, Criteria criteria) {
    boolean loadable =
        fleet.entriesOfService(criteria.service()).stream()
            .anyMatch(entry -> !entry.draining() && !isRateLimited(entry));
    return eligibleServers(fleet, criteria.service(), criteria.ref()).isEmpty()
        || (loadable && exhaustedMillis(fleet, criteria) > 0 && !isPaused(fleet, criteria));
  }

  private List<ServerEntry> candidates(Fleet fleet, Criteria criteria) {
    List<ServerEntry> candidates = eligibleServers(fleet, criteria.service(), criteria.ref());
    candidates.removeIf(entry -> !criteria.admits(entry));
    return candidates;
  }

  /** Returns whether a server for a request has asked for a pause, after which it can serve it. */
  private boolean isPaused(Fleet fleet, Criteria criteria) {
    return candidates(fleet, criteria).stream()
        .anyMatch(e -> quotas.pauseMillis(e.incarnation()) > 0);
  }

  private boolean isUsable(ServerEntry entry) {
    return !loads.isAvoided(id(entry));
  }

  /** Returns whether a server is at its limit, or may soon be. */
  private boolean isLimited(ServerEntry entry) {
    return isRateLimited(entry) || quotas.exhaustedMillis(entry.incarnation(), true) > 0;
  }

  private boolean isRateLimited(ServerEntry entry) {
    return quotas.limits(entry.incarnation()).isRateLimited();
  }

  /** Returns whether a server is at its limit for longer than a request can wait. */
  private boolean isExhausted(ServerEntry entry, boolean hasAlternative, long maxWaitMillis) {
    return quotas.exhaustedMillis(entry.incarnation(), hasAlternative)
        > (hasAlternative ? 0 : maxWaitMillis);
  }

  /**
   * Returns the less loaded of two servers drawn at random. The reported loads are some hundred
   * milliseconds old; if all nodes chose the least loaded server, it would become the most loaded.
   */
  private ServerEntry lessLoadedOfTwo(List<ServerEntry> pool) {
    int first = random.nextInt(pool.size());
    int second = random.nextInt(pool.size() - 1);
    ServerEntry one = pool.get(first);
    ServerEntry other = pool.get(second < first ? second : second + 1);
    return cost(one) <= cost(other) ? one : other;
  }

  private boolean isNearAndFree(ServerEntry entry) {
    return entry.dataCentre().equals(dataCentre)
        && loads.utilisation(entry) <= NEAR_UTILISATION
        && loads.queueMillis(id(entry)) == 0;
  }

  private double cost(ServerEntry entry) {
    double distance = entry.dataCentre().equals(dataCentre) ? 0 : DISTANCE_PENALTY;
    double queue = loads.queueMillis(id(entry)) / QUEUE_MILLIS_PER_SLOT_SHARE;
    return loads.utilisation(entry) + distance + queue;
  }

  private static String id(ServerEntry entry) {
    return entry.incarnation().id();
  }

  private boolean hasModel(ServerEntry entry, ModelRef ref) {
    if (!entry.inventory().hasLoaded(ref)) {
      return false;
    }
    Map<ModelRef, Long> missing = missingByServer.get(entry.incarnation().toString());
    Long untilMillis = missing == null ? null : missing.get(ref);
    return untilMillis == null || untilMillis <= clock.millis();
  }
}
