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
import java.util.stream.Collectors;

/**
 * Decides which models the servers of one service load and unload. A swap takes several orders, so
 * a server stays reserved for its model from one round to the next until the load is ordered.
 * Confined to one thread.
 */
public final class SwapPlanner {
  /** Added to the replica count, which may be 0, so that a model without replicas ranks first. */
  private static final double REPLICA_COUNT_OFFSET = 0.01;

  /** Each time a model has been unserved for this long, its value grows by its initial value. */
  private static final double AGEING_MILLIS = 5_000;

  /**
   * A model that has been unserved for longer is urgent: interactive callers have left without a
   * response.
   */
  private static final long URGENT_MILLIS = 5_000;

  /** The swaps in progress: the id of the server that is reserved for each model. */
  private final Map<String, String> serverIdByModel = new HashMap<>();

  private final UnservedModels unservedModels = new UnservedModels();
  private final StoreQueue storeQueue = new StoreQueue(unservedModels);
  private final UnusedStoreLoads unusedStoreLoads = new UnusedStoreLoads();

  /** Whether the last load from the weight store was for a model that was served already. */
  private boolean firstCopyIsNext;

  /** Plans one round for the service of a snapshot. */
  public RoundPlan plan(ServiceSnapshot state) {
    unusedStoreLoads.update(state);
    ServiceSnapshot snapshot = state.withKeptModels(unusedStoreLoads.modelsByServer());
    unservedModels.update(snapshot);
    storeQueue.update(snapshot);
    Round round = new Round(snapshot);
    round.dropEndedSwaps();
    round.placeReplicas();
    round.placeWaitingModels();
    storeQueue.updateUnusableCopies(serverIdByModel.keySet(), round::isUrgent);
    round.placeUnservedModelsFromStore();
    round.placeOverloadedModelsFromStore();
    round.placeSpareReplicas();
    round.placeModelsWithoutCopy();
    List<DeferredLoad> deferredLoads = round.deferredLoads();
    Map<ModelRef, Long> readyMillisByModel =
        round.loadTimes.readyMillisByModel(serverIdByModel, round.modelsForStore());
    round.addNextOrders();
    AdapterPlanner.Plan adapters = AdapterPlanner.plan(snapshot, round.orderedServers());
    round.orders.addAll(adapters.orders());
    adapters
        .readyMillisByAdapter()
        .forEach((ref, millis) -> readyMillisByModel.merge(ref, millis, Math::max));
    return new RoundPlan(round.orders, readyMillisByModel, deferredLoads);
  }

  /** Discards all swaps; the models that were passed over keep their rank. */
  public void reset() {
    serverIdByModel.clear();
    storeQueue.clear();
    unusedStoreLoads.clear();
    firstCopyIsNext = false;
  }

  private final class Round {
    private final ServiceSnapshot snapshot;
    private final LoadTimes loadTimes;
    private final List<ModelOrder> orders = new ArrayList<>();
    private final Set<String> reservedServers = new HashSet<>();
    private final boolean anyPressing;
    private int storeLoadsLeft;
    private int lowDemandLoadsLeft;

    private Round(ServiceSnapshot snapshot) {
      this.snapshot = snapshot;
      this.loadTimes = new LoadTimes(snapshot);
      this.anyPressing =
          snapshot.demandByModel().values().stream()
              .anyMatch(demand -> demand.isPressing(snapshot.nowMillis()));
      this.storeLoadsLeft = snapshot.storeCapacity().allowedLoads();
      this.lowDemandLoadsLeft =
          snapshot.demandByModel().isEmpty()
              ? snapshot.storeCapacity().allowedLoads()
              : snapshot.storeCapacity().allowedLowDemandLoads();
    }

    private Set<String> orderedServers() {
      return orders.stream().map(order -> order.server().id()).collect(Collectors.toSet());
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
     * Places each model that has waiting requests, a copy and no replica: first those whose
     * requests would miss their target after another load, then those whose load has the highest
     * value for the waiting requests, then those with the earliest deadline. The value grows with
     * the time for which a model has been unserved; else a model with one waiting request would
     * lose to models with more for as long as those return.
     */
    private void placeWaitingModels() {
      snapshot.engine().models().keySet().stream()
          .filter(m -> snapshot.totalDemand(m).waiting() > 0)
          .filter(m -> snapshot.replicas(m) == 0 && snapshot.hasCopy(m))
          .sorted(
              Comparator.<String, Boolean>comparing(m -> !isPressing(m))
                  .thenComparingDouble(m -> -agedValue(m))
                  .thenComparingLong(m -> snapshot.totalDemand(m).earliestDeadlineMillis())
                  .thenComparing(Comparator.naturalOrder()))
          .forEach(m -> place(m, 0));
    }

    /**
     * Returns whether a model must be placed first: its requests cannot wait, or it has been
     * unserved for long while others cannot wait.
     */
    private boolean isPressing(String model) {
      return snapshot.totalDemand(model).isPressing(snapshot.nowMillis())
          || (isUrgent(model) && anyPressing);
    }

    private double agedValue(String model) {
      double age = unservedModels.unservedMillis(model) / AGEING_MILLIS;
      return snapshot.totalDemand(model).value() * (1 + age);
    }

    /**
     * Places further replicas of high-demand models. This precedes the placement of models with few
     * waiting requests, which would otherwise take every server that becomes free. Of these models
     * only the overloaded ones use the weight store, in turns with models that are not served at
     * all: each kind could use it for as long as its demand lasts. A further replica yields to
     * models that have been unserved for longer than a load takes, whose requests are all refused.
     */
    private void placeReplicas() {
      for (String model : underReplicatedModels()) {
        if (place(model, isOverloaded(model) ? storeLoadsForReplica(model) : 0)) {
          firstCopyIsNext = snapshot.replicas(model) > 0;
        }
      }
    }

    /** Returns how many store loads a replica of an overloaded model may choose from. */
    private int storeLoadsForReplica(String model) {
      List<String> unserved = modelsForStore();
      boolean further = snapshot.replicas(model) > 0;
      if (further && unserved.stream().anyMatch(storeQueue::isUnservedForLoad)) {
        return 0;
      }
      return firstCopyIsNext && !unserved.isEmpty() ? storeLoadsLeft - 1 : storeLoadsLeft;
    }

    /** Uses the store loads that are left for replicas of overloaded models. */
    private void placeOverloadedModelsFromStore() {
      underReplicatedModels().stream()
          .filter(this::isOverloaded)
          .forEach(model -> place(model, storeLoadsLeft));
    }

    /**
     * Places replicas of high-demand models, which keep them available when a server is lost, if no
     * requested model needs the weight store.
     */
    private void placeSpareReplicas() {
      if (modelsForStore().isEmpty()) {
        underReplicatedModels().stream()
            .filter(m -> snapshot.replicas(m) < ReplicaTarget.MIN_AVAILABLE_REPLICAS)
            .forEach(m -> place(m, storeLoadsLeft));
      }
    }

    private List<String> underReplicatedModels() {
      return snapshot.engine().models().keySet().stream()
          .filter(
              m -> {
                int desired =
                    ReplicaTarget.desired(
                        snapshot.totalDemand(m).ratePerSecond(), snapshot.engine().slots());
                return desired > 1 && snapshot.replicas(m) < desired;
              })
          .sorted(
              Comparator.<String>comparingDouble(m -> -ratePerReplica(m))
                  .thenComparing(Comparator.naturalOrder()))
          .toList();
    }

    private boolean isOverloaded(String model) {
      return ReplicaTarget.isOverloaded(
          snapshot.totalDemand(model).ratePerSecond(),
          snapshot.replicas(model),
          snapshot.engine().slots());
    }

    /** Returns the request rate per replica; a model without a replica ranks first. */
    private double ratePerReplica(String model) {
      return snapshot.totalDemand(model).ratePerSecond()
          / (snapshot.replicas(model) + REPLICA_COUNT_OFFSET);
    }

    /**
     * Loads requested models without usable copy from the weight store. Requests for such a model
     * are refused at once, since a load takes longer than their callers wait, so the models are
     * ranked by the requests since they were last served and not by those that wait now. The load
     * that is reserved for high-demand models spares them the wait for the next place. A store
     * whose places are all in use frees one in the time of a load divided by their number, so a
     * model that has been unserved for longer may use the reserved load.
     */
    private void placeUnservedModelsFromStore() {
      for (String model : modelsForStore()) {
        boolean longUnserved = storeQueue.isUnservedForPlace(model);
        if (place(model, longUnserved || firstCopyIsNext ? storeLoadsLeft : lowDemandLoadsLeft)) {
          firstCopyIsNext = false;
        }
      }
    }

    /** Uses the remaining store loads for models that nobody requests. */
    private void placeModelsWithoutCopy() {
      storeQueue.modelsWithoutCopy().forEach(model -> place(model, lowDemandLoadsLeft));
    }

    private List<String> modelsForStore() {
      return storeQueue.requestedModels(serverIdByModel.keySet());
    }

    /**
     * Reserves the server that can load a model earliest. A busy server may be the best one because
     * it has a copy of the weights; it then stays reserved for the model. A server that loads from
     * the weight store must be able to start the load now, as each load occupies it for seconds.
     *
     * @param model name of the model
     * @param storeLoads number of loads from the weight store that may start for the model
     * @return whether a load from the weight store was reserved
     */
    private boolean place(String model, int storeLoads) {
      boolean loadable = storeLoads > 0 || snapshot.hasCopy(model);
      if (!loadable || serverIdByModel.containsKey(model)) {
        return false;
      }
      ModelSpec spec = snapshot.engine().models().get(model);
      Optional<ServerOrderState> bestServer =
          snapshot.servers().stream()
              .filter(s -> !s.entry().draining() && !isStalled(s))
              .filter(s -> !reservedServers.contains(s.id()))
              .filter(
                  s ->
                      sourceOn(s, model) != LoadSource.STORE
                          || (storeLoads > 0 && s.canAcceptOrder()))
              .filter(s -> !s.serves(model))
              .filter(s -> s.allows(snapshot.totalDemand(model).ratePerSecond()))
              .filter(s -> MemoryUse.canHost(snapshot, s, spec, isUrgent(model)))
              .min(
                  Comparator.<ServerOrderState, Boolean>comparing(
                          s -> s.mayLoseLoad(sourceOn(s, model)))
                      .thenComparingLong(s -> loadTimes.readyMillis(s, spec))
                      .thenComparingDouble(this::hostedRatePerSecond)
                      .thenComparingInt(s -> s.entry().inventory().onDisk().size())
                      .thenComparing(ServerOrderState::id));
      if (bestServer.isEmpty()) {
        return false;
      }
      boolean fromStore = sourceOn(bestServer.get(), model) == LoadSource.STORE;
      if (fromStore) {
        reserveStoreLoad();
      }
      serverIdByModel.put(model, bestServer.get().id());
      reservedServers.add(bestServer.get().id());
      return fromStore;
    }

    /** Returns the request rate of the models on a server, divided among their replicas. */
    private double hostedRatePerSecond(ServerOrderState server) {
      return server.entry().inventory().adaptersByModel().keySet().stream()
          .mapToDouble(
              m -> snapshot.totalDemand(m).ratePerSecond() / Math.max(1, snapshot.replicas(m)))
          .sum();
    }

    private boolean isUrgent(String model) {
      return unservedModels.unservedMillis(model) > URGENT_MILLIS;
    }

    private boolean isStalled(ServerOrderState server) {
      return server.isStalled(snapshot.engine(), snapshot.nowMillis());
    }

    private LoadSource sourceOn(ServerOrderState server, String model) {
      return LoadSource.of(server.entry().inventory(), model);
    }

    /** Adds the next order of each swap whose server can accept one. */
    private void addNextOrders() {
      Map<String, String> swaps = new HashMap<>(serverIdByModel);
      swaps.forEach(
          (model, id) -> {
            ServerOrderState server = snapshot.server(id).orElseThrow();
            if (server.canContinueSwap() && !server.isUnloadExpected(snapshot.nowMillis())) {
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
      Optional<String> candidate = EvictionChooser.choose(snapshot, server, model, isUrgent(model));
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
                      snapshot,
                      model,
                      unservedModels.unservedMillis(model),
                      isUrgent(model),
                      reservedServers))
          .toList();
    }
  }
}
