package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.gateway.EngineSpec;
import java.util.List;
import java.util.Map;

/**
 * What the planner of loads knows of one service.
 *
 * @param engine the engine of the service
 * @param servers its servers
 * @param demandByModel demand of each model and adapter that is asked for
 * @param storeLoadsAllowed further loads from the weight store that may begin now
 * @param nowMillis monotonic time
 */
public record SwapView(
    EngineSpec engine,
    List<ServerWork> servers,
    Map<ModelRef, ModelDemand> demandByModel,
    int storeLoadsAllowed,
    long nowMillis) {
  /** Returns the demand of a model with all its adapters. */
  ModelDemand totalDemand(String model) {
    ModelDemand total = ModelDemand.NONE;
    for (Map.Entry<ModelRef, ModelDemand> entry : demandByModel.entrySet()) {
      if (entry.getKey().model().equals(model)) {
        total = total.plus(entry.getValue());
      }
    }
    return total;
  }

  /** Returns the number of servers that serve a model or are loading it. */
  long replicas(String model) {
    return servers.stream().filter(s -> s.serves(model) || s.isLoading(model)).count();
  }

  /** Returns whether some server that stays has the weights of a model. */
  boolean hasCopy(String model) {
    return servers.stream()
        .filter(s -> !s.entry().draining())
        .anyMatch(
            s ->
                s.isLoading(model)
                    || s.entry().inventory().adaptersByModel().containsKey(model)
                    || LoadSource.of(s.entry().inventory(), model) != LoadSource.STORE);
  }
}
