package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.gateway.EngineSpec;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The state of one service on which a planning round works. Immutable; totals that planning reads
 * repeatedly are computed once.
 */
public final class ServiceSnapshot {
  private final EngineSpec engine;
  private final List<ServerOrderState> servers;
  private final Map<ModelRef, ModelDemand> demandByModel;
  private final StoreCapacity storeCapacity;
  private final long nowMillis;
  private final Map<String, Set<String>> keptModelsByServer;
  private final Map<String, ServerOrderState> serverById;
  private final Map<String, ModelDemand> totalByModel;
  private final Map<String, Integer> servingReplicasByModel;
  private final Map<String, Integer> replicasByModel;
  private final Set<String> modelsWithCopy;

  /**
   * Creates a snapshot.
   *
   * @param engine model engine of the service
   * @param servers servers of the service
   * @param demandByModel demand for each requested model and adapter
   * @param storeCapacity loads that the weight store can serve
   * @param nowMillis monotonic time
   */
  public ServiceSnapshot(
      EngineSpec engine,
      List<ServerOrderState> servers,
      Map<ModelRef, ModelDemand> demandByModel,
      StoreCapacity storeCapacity,
      long nowMillis) {
    this.engine = engine;
    this.servers = List.copyOf(servers);
    this.demandByModel = Map.copyOf(demandByModel);
    this.storeCapacity = storeCapacity;
    this.nowMillis = nowMillis;
    this.keptModelsByServer = Map.of();
    this.serverById = new HashMap<>();
    this.totalByModel = new HashMap<>();
    this.servingReplicasByModel = new HashMap<>();
    this.replicasByModel = new HashMap<>();
    this.modelsWithCopy = new HashSet<>();
    demandByModel.forEach(
        (ref, demand) -> totalByModel.merge(ref.model(), demand, ModelDemand::plus));
    servers.forEach(this::addToTotals);
  }

  private ServiceSnapshot(ServiceSnapshot state, Map<String, Set<String>> keptModelsByServer) {
    this.engine = state.engine;
    this.servers = state.servers;
    this.demandByModel = state.demandByModel;
    this.storeCapacity = state.storeCapacity;
    this.nowMillis = state.nowMillis;
    this.keptModelsByServer = Map.copyOf(keptModelsByServer);
    this.serverById = state.serverById;
    this.totalByModel = state.totalByModel;
    this.servingReplicasByModel = state.servingReplicasByModel;
    this.replicasByModel = state.replicasByModel;
    this.modelsWithCopy = state.modelsWithCopy;
  }

  private void addToTotals(ServerOrderState server) {
    serverById.put(server.id(), server);
    Set<String> loaded = server.entry().inventory().adaptersByModel().keySet();
    for (String model : loaded) {
      if (server.serves(model) && server.allows(totalDemand(model).ratePerSecond())) {
        servingReplicasByModel.merge(model, 1, Integer::sum);
        replicasByModel.merge(model, 1, Integer::sum);
      }
    }
    Optional<String> loading =
        server.isStalled(engine, nowMillis) ? Optional.empty() : server.loadingModel();
    loading
        .filter(model -> !server.entry().draining() && !server.serves(model))
        .filter(model -> server.allows(totalDemand(model).ratePerSecond()))
        .ifPresent(model -> replicasByModel.merge(model, 1, Integer::sum));
    if (!server.entry().draining()) {
      loading.ifPresent(modelsWithCopy::add);
      modelsWithCopy.addAll(loaded);
      modelsWithCopy.addAll(server.entry().inventory().inHostMemory());
      modelsWithCopy.addAll(server.entry().inventory().onDisk());
    }
  }

  /** Returns this snapshot with the models that each server must not evict. */
  ServiceSnapshot withKeptModels(Map<String, Set<String>> modelsByServer) {
    return new ServiceSnapshot(this, modelsByServer);
  }

  /** Returns whether a server must not evict a model. */
  boolean isKept(String serverId, String model) {
    return keptModelsByServer.getOrDefault(serverId, Set.of()).contains(model);
  }

  /** Returns the model engine of the service. */
  public EngineSpec engine() {
    return engine;
  }

  /** Returns the servers of the service. */
  public List<ServerOrderState> servers() {
    return servers;
  }

  /** Returns the demand for each requested model and adapter. */
  public Map<ModelRef, ModelDemand> demandByModel() {
    return demandByModel;
  }

  /** Returns the loads that the weight store can serve. */
  public StoreCapacity storeCapacity() {
    return storeCapacity;
  }

  /** Returns the monotonic time of the snapshot, in milliseconds. */
  public long nowMillis() {
    return nowMillis;
  }

  /** Returns the server with an id, or empty if there is none. */
  Optional<ServerOrderState> server(String id) {
    return Optional.ofNullable(serverById.get(id));
  }

  /** Returns the demand for a model and all its adapters. */
  ModelDemand totalDemand(String model) {
    return totalByModel.getOrDefault(model, ModelDemand.NONE);
  }

  /** Returns the number of servers that serve a model within their limits. */
  int servingReplicas(String model) {
    return servingReplicasByModel.getOrDefault(model, 0);
  }

  /**
   * Returns the number of servers that serve a model within their limits, or load it; stalled loads
   * do not count.
   */
  int replicas(String model) {
    return replicasByModel.getOrDefault(model, 0);
  }

  /** Returns whether a server that is not draining has, or loads, the weights of a model. */
  boolean hasCopy(String model) {
    return modelsWithCopy.contains(model);
  }
}
