package io.nutmegseam.core.orders;

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

/**
 * Decides which models the servers of one service load and unload. A swap takes several orders, so
 * a server stays reserved for its model from one round to the next until the load is ordered.
 * Confined to one thread.
 */
public final class SwapPlanner {
  /** Expected duration of an unload, which waits for running requests, in milliseconds. */
  private static final long UNLOAD_MILLIS = 400;

  /** Added to the replica count, which may be 0, so that a model without replicas ranks first. */
  private static final double REPLICA_COUNT_OFFSET = 0.01;

  /** Expected remaining time of an order that this node did not send, in milliseconds. */
  private static final long UNTRACKED_ORDER_MILLIS = 1_000;

  /** Expected remaining time of a load that is overdue, in milliseconds. */
  private static final long OVERDUE_MILLIS = 250;

  /** The swaps in progress: the id of the server that is reserved for each model. */
  private final Map<String, String> serverIdByModel = new HashMap<>();

  private final UnservedModels unservedModels = new UnservedModels();

  /**
   * The decisions of one planning round.
   *
   * @param orders orders to send now, at most one per server
   * @param readyAtMillisByModel monotonic time at which each model with waiting requests is
   *     expected to be loaded, in milliseconds
   * @param deferredLoads requested models that no server serves and none is assigned to
   */
  public record RoundPlan(
      List<ModelOrder> orders,
      Map<ModelRef, Long> readyAtMillisByModel,
      List<DeferredLoad> deferredLoads) {}

  /** Plans one round for the service of a snapshot. */
  public RoundPlan plan(ServiceSnapshot snapshot) {
    unservedModels.update(snapshot);
    Round round = new Round(snapshot);
    round.dropEndedSwaps();
    round.placeReplicas();
    round.placeWaitingModels();
    round.placeModelsWithoutCopy();
    List<DeferredLoad> deferredLoads = round.deferredLoads();
    round.addNextOrders();
    List<ModelOrder> adapters = AdapterPlanner.plan(snapshot, round.orderedServers());
    round.orders.addAll(adapters);
    return new RoundPlan(round.orders, round.expectedLoadTimes(), deferredLoads);
  }

  /** Discards all swaps, for a node that starts or stops sending orders. */
  public void reset() {
    serverIdByModel.clear();
    unservedModels.clear();
  }

  private final class Round {
    private final ServiceSnapshot snapshot;
    private final List<ModelOrder> orders = new ArrayList<>();
    private final Set<String> reservedServers = new HashSet<>();
    private int storeLoadsLeft;
    private int lowDemandLoadsLeft;

    private Round(ServiceSnapshot snapshot) {
      this.snapshot = snapshot;
      this.storeLoadsLeft = snapshot.storeCapacity().allowedLoads();
      this.lowDemandLoadsLeft =
          snapshot.demandByModel().isEmpty()
              ? snapshot.storeCapacity().allowedLoads()
              : snapshot.storeCapacity().allowedLowDemandLoads();
    }

    private Set<String> orderedServers() {
      Set<String> ids = new HashSet<>();
      orders.forEach(order -> ids.add(order.server().id()));
      return ids;
    }

    /**
     * Drops swaps whose model is loaded, loading or no longer configured, or whose server is
     * draining, stalled or no longer listed. Reserves the servers and the store loads of the other
     * swaps.
     */
    private void dropEndedSwaps() {
      serverIdByModel
          .entrySet()
          .removeIf(
              entry -> {
                Optional<ServerOrderState> server = snapshot.server(entry.getValue());
                return server.isEmpty()
                    || server.get().entry().draining()
                    || isStalled(server.get())
                    || server.get().serves(entry.getKey())
                    || server.get().isLoading(entry.getKey())
                    || !snapshot.engine().models().containsKey(entry.getKey());
              });
      for (Map.Entry<String, String> entry : serverIdByModel.entrySet()) {
        reservedServers.add(entry.getValue());
        ServerOrderState server = snapshot.server(entry.getValue()).orElseThrow();
        if (LoadSource.of(server.entry().inventory(), entry.getKey()) == LoadSource.STORE) {
          reserveStoreLoad();
        }
      }
    }

    private void reserveStoreLoad() {
      storeLoadsLeft--;
      lowDemandLoadsLeft--;
    }

    /**
     * Places each model that has waiting requests and no replica: first those whose load has the
     * highest value for the waiting requests, then those with the earliest deadline.
     */
    private void placeWaitingModels() {
      List<String> waiting = new ArrayList<>();
      for (String model : snapshot.engine().models().keySet()) {
        if (snapshot.totalDemand(model).waiting() > 0 && snapshot.replicas(model) == 0) {
          waiting.add(model);
        }
      }
      waiting.sort(
          Comparator.<String>comparingDouble(m -> -snapshot.totalDemand(m).value())
              .thenComparingLong(m -> snapshot.totalDemand(m).earliestDeadlineMillis())
              .thenComparing(Comparator.naturalOrder()));
      waiting.forEach(this::place);
    }

    /**
     * Places further replicas of high-demand models. This precedes the placement of models with few
     * waiting requests, which would otherwise take every server that becomes free.
     */
    private void placeReplicas() {
      List<String> underReplicated = new ArrayList<>();
      for (String model : snapshot.engine().models().keySet()) {
        double ratePerSecond = snapshot.totalDemand(model).ratePerSecond();
        int desired = ReplicaTarget.desired(ratePerSecond, snapshot.engine().slots());
        if (desired > 1 && snapshot.replicas(model) < desired) {
          underReplicated.add(model);
        }
      }
      underReplicated.sort(
          Comparator.<String>comparingDouble(m -> -ratePerReplica(m))
              .thenComparing(Comparator.naturalOrder()));
      underReplicated.forEach(this::place);
    }

    /** Returns the request rate per replica; a model without a replica ranks first. */
    private double ratePerReplica(String model) {
      return snapshot.totalDemand(model).ratePerSecond()
          / (snapshot.replicas(model) + REPLICA_COUNT_OFFSET);
    }

    /**
     * Uses the remaining store loads for models of which no server has a copy, in the order of the
     * configuration.
     */
    private void placeModelsWithoutCopy() {
      List<String> withoutCopy =
          snapshot.engine().models().keySet().stream()
              .filter(model -> !snapshot.hasCopy(model))
              .toList();
      for (String model : withoutCopy) {
        if (lowDemandLoadsLeft > 0) {
          place(model);
        }
      }
    }

    /**
     * Reserves the server that can load a model earliest. A busy server may be the best one because
     * it has a copy of the weights; it then stays reserved for the model.
     */
    private void place(String model) {
      if (serverIdByModel.containsKey(model)) {
        return;
      }
      ModelSpec spec = snapshot.engine().models().get(model);
      Optional<ServerOrderState> bestServer =
          snapshot.servers().stream()
              .filter(s -> !s.entry().draining() && !isStalled(s))
              .filter(s -> !reservedServers.contains(s.id()))
              .filter(s -> !s.serves(model) && MemoryUse.canHost(snapshot, s, spec))
              .filter(s -> sourceOn(s, model) != LoadSource.STORE || mayUseStore(s, model))
              .min(
                  Comparator.<ServerOrderState>comparingLong(s -> readyMillis(s, spec))
                      .thenComparingDouble(this::hostedRatePerSecond)
                      .thenComparingInt(s -> s.entry().inventory().onDisk().size())
                      .thenComparing(ServerOrderState::id));
      if (bestServer.isPresent()) {
        if (sourceOn(bestServer.get(), model) == LoadSource.STORE) {
          reserveStoreLoad();
        }
        serverIdByModel.put(model, bestServer.get().id());
        reservedServers.add(bestServer.get().id());
      }
    }

    /**
     * Returns whether a server may load a model from the store. The server must be able to start
     * the load now, and a model of which a copy exists must be under-provisioned: the store serves
     * few loads, and each occupies its server for seconds.
     */
    private boolean mayUseStore(ServerOrderState server, String model) {
      double ratePerSecond = snapshot.totalDemand(model).ratePerSecond();
      boolean underProvisioned =
          ReplicaTarget.isUnderProvisioned(
              ratePerSecond, snapshot.replicas(model), snapshot.engine().slots());
      return server.canAcceptOrder()
          && (underProvisioned
              ? storeLoadsLeft > 0
              : lowDemandLoadsLeft > 0 && !snapshot.hasCopy(model));
    }

    /** Returns the monotonic time at which a server can have loaded a model, in milliseconds. */
    private long readyMillis(ServerOrderState server, ModelSpec spec) {
      long busyMillis = server.entry().inventory().busy() ? UNTRACKED_ORDER_MILLIS : 0;
      return server.expectedReadyMillis(snapshot.nowMillis())
          + busyMillis
          + expectedMillis(server, spec);
    }

    /** Returns the request rate of the models on a server, divided among their replicas. */
    private double hostedRatePerSecond(ServerOrderState server) {
      return server.entry().inventory().adaptersByModel().keySet().stream()
          .mapToDouble(
              m -> snapshot.totalDemand(m).ratePerSecond() / Math.max(1, snapshot.replicas(m)))
          .sum();
    }

    private boolean isStalled(ServerOrderState server) {
      return server.isStalled(snapshot.engine(), snapshot.nowMillis());
    }

    private LoadSource sourceOn(ServerOrderState server, String model) {
      return LoadSource.of(server.entry().inventory(), model);
    }

    private long expectedMillis(ServerOrderState server, ModelSpec spec) {
      double free = MemoryUse.freeMegabytes(snapshot.engine(), server);
      long unloadMillis = free >= spec.weightsMegabytes() ? 0 : UNLOAD_MILLIS;
      return unloadMillis + sourceOn(server, spec.name()).loadMillis(spec);
    }

    /** Adds the next order of each swap whose server can accept one. */
    private void addNextOrders() {
      Map<String, String> swaps = new HashMap<>(serverIdByModel);
      swaps.forEach(
          (model, id) -> {
            ServerOrderState server = snapshot.server(id).orElseThrow();
            if (server.canContinueSwap()) {
              addNextOrder(model, server);
            }
          });
    }

    private void addNextOrder(String model, ServerOrderState server) {
      ModelSpec spec = snapshot.engine().models().get(model);
      if (MemoryUse.freeMegabytes(snapshot.engine(), server) >= spec.weightsMegabytes()) {
        orders.add(
            new ModelOrder(
                server.entry().incarnation(),
                ModelOrder.Operation.LOAD,
                new ModelRef(model, ""),
                sourceOn(server, model)));
        serverIdByModel.remove(model);
        return;
      }
      Optional<String> candidate = EvictionChooser.choose(snapshot, server, model);
      if (candidate.isEmpty()) {
        serverIdByModel.remove(model);
        return;
      }
      orders.add(
          new ModelOrder(
              server.entry().incarnation(),
              ModelOrder.Operation.UNLOAD,
              new ModelRef(candidate.get(), ""),
              LoadSource.NONE));
    }

    private List<DeferredLoad> deferredLoads() {
      return unservedModels.names().stream()
          .filter(model -> snapshot.replicas(model) == 0 && !serverIdByModel.containsKey(model))
          .map(
              model ->
                  DeferredLoad.of(
                      snapshot, model, unservedModels.unservedMillis(model), reservedServers))
          .toList();
    }

    /** Returns when each model with waiting requests is expected to be loaded. */
    private Map<ModelRef, Long> expectedLoadTimes() {
      Map<ModelRef, Long> readyAt = new HashMap<>();
      long storeQueueMillis = 0;
      for (String model : snapshot.engine().models().keySet()) {
        if (snapshot.totalDemand(model).waiting() == 0) {
          continue;
        }
        Optional<Long> expected = expectedReadyMillis(model);
        long readyAtMillis =
            expected.orElse(
                snapshot.nowMillis()
                    + snapshot.engine().models().get(model).storeLoadMillis()
                    + storeQueueMillis);
        if (expected.isEmpty()) {
          storeQueueMillis +=
              snapshot.engine().models().get(model).storeLoadMillis()
                  / snapshot.storeCapacity().parallelLoads();
        }
        readyAt.put(new ModelRef(model, ""), readyAtMillis);
      }
      snapshot
          .demandByModel()
          .keySet()
          .forEach(ref -> readyAt.computeIfAbsent(ref, r -> readyAt.get(r.base())));
      return readyAt;
    }

    private Optional<Long> expectedReadyMillis(String model) {
      ModelSpec spec = snapshot.engine().models().get(model);
      for (ServerOrderState server : snapshot.servers()) {
        if (server.serves(model)) {
          return Optional.of(snapshot.nowMillis());
        }
        if (server.isLoading(model) && !isStalled(server)) {
          return Optional.of(
              Math.max(server.pendingUntilMillis(), snapshot.nowMillis() + OVERDUE_MILLIS));
        }
      }
      return Optional.ofNullable(serverIdByModel.get(model))
          .flatMap(snapshot::server)
          .map(s -> readyMillis(s, spec))
          .or(() -> earliestReadyFromCopyMillis(spec));
    }

    /** Returns the earliest time at which a server with a copy can have loaded the model. */
    private Optional<Long> earliestReadyFromCopyMillis(ModelSpec spec) {
      return snapshot.servers().stream()
          .filter(s -> !s.entry().draining() && !isStalled(s))
          .filter(s -> sourceOn(s, spec.name()) != LoadSource.STORE)
          .map(s -> readyMillis(s, spec))
          .min(Comparator.naturalOrder());
    }
  }
}
