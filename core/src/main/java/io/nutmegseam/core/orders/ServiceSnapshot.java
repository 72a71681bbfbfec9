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
 * What the planner of loads knows of one service. Immutable; what planning asks for again and again
 * is added up once.
 */
public final class ServiceSnapshot {
  private final EngineSpec engine;
  private final List<ServerOrderState> servers;
  private final Map<ModelRef, ModelDemand> demandByModel;
  private final StoreCapacity storeRoom;
  private final long nowMillis;
  private final Map<String, ServerOrderState> serverById = new HashMap<>();
  private final Map<String, ModelDemand> totalByModel = new HashMap<>();
  private final Map<String, Integer> servingByModel = new HashMap<>();
  private final Map<String, Integer> replicasByModel = new HashMap<>();
  private final Set<String> copied = new HashSet<>();

  /**
   * Creates a view.
   *
   * @param engine the engine of the service
   * @param servers its servers
   * @param demandByModel demand of each model and adapter that is asked for
   * @param storeRoom what the weight store can take
   * @param nowMillis monotonic time
   */
  public ServiceSnapshot(
      EngineSpec engine,
      List<ServerOrderState> servers,
      Map<ModelRef, ModelDemand> demandByModel,
      StoreCapacity storeRoom,
      long nowMillis) {
    this.engine = engine;
    this.servers = List.copyOf(servers);
    this.demandByModel = Map.copyOf(demandByModel);
    this.storeRoom = storeRoom;
    this.nowMillis = nowMillis;
    demandByModel.forEach(
        (ref, demand) -> totalByModel.merge(ref.model(), demand, ModelDemand::plus));
    servers.forEach(this::count);
  }

  private void count(ServerOrderState server) {
    serverById.put(server.id(), server);
    Set<String> held = server.entry().inventory().adaptersByModel().keySet();
    for (String model : held) {
      if (server.serves(model)) {
        servingByModel.merge(model, 1, Integer::sum);
        replicasByModel.merge(model, 1, Integer::sum);
      }
    }
    Optional<String> loading = server.loadingModel();
    loading
        .filter(model -> !server.serves(model))
        .ifPresent(model -> replicasByModel.merge(model, 1, Integer::sum));
    if (!server.entry().draining()) {
      loading.ifPresent(copied::add);
      copied.addAll(held);
      copied.addAll(server.entry().inventory().inHostMemory());
      copied.addAll(server.entry().inventory().onDisk());
    }
  }

  /** Returns the engine of the service. */
  public EngineSpec engine() {
    return engine;
  }

  /** Returns the servers. */
  public List<ServerOrderState> servers() {
    return servers;
  }

  /** Returns the demand of each model and adapter that is asked for. */
  public Map<ModelRef, ModelDemand> demandByModel() {
    return demandByModel;
  }

  /** Returns what the weight store can take. */
  public StoreCapacity storeCapacity() {
    return storeRoom;
  }

  /** Returns the monotonic time of the view. */
  public long nowMillis() {
    return nowMillis;
  }

  /** Returns a server. */
  Optional<ServerOrderState> server(String id) {
    return Optional.ofNullable(serverById.get(id));
  }

  /** Returns the demand of a model with all its adapters. */
  ModelDemand totalDemand(String model) {
    return totalByModel.getOrDefault(model, ModelDemand.NONE);
  }

  /** Returns the number of servers that serve a model. */
  int servingReplicas(String model) {
    return servingByModel.getOrDefault(model, 0);
  }

  /** Returns the number of servers that serve a model or are loading it. */
  int replicas(String model) {
    return replicasByModel.getOrDefault(model, 0);
  }

  /** Returns whether some server that stays has the weights of a model. */
  boolean hasCopy(String model) {
    return copied.contains(model);
  }
}
