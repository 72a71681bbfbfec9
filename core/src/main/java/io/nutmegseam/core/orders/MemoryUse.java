package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.gateway.EngineSpec;
import io.nutmegseam.core.gateway.ModelSpec;
import java.util.Map;
import java.util.Set;

/** Computes the memory use of the models and adapters on a server. */
final class MemoryUse {
  private MemoryUse() {}

  /**
   * Returns the free memory of a server, in megabytes. A pending load counts as done; a pending
   * unload counts as done only if the next order may already be sent.
   */
  static double freeMegabytes(EngineSpec engine, ServerOrderState server) {
    double used = usedMegabytes(engine, server.entry().inventory());
    if (server.pending().isPresent()) {
      ModelOrder order = server.pending().get();
      if (order.operation() == ModelOrder.Operation.LOAD) {
        used += neededMegabytes(engine, order);
      } else if (server.followUpAllowed()) {
        used -= freedMegabytes(engine, server, order);
      }
    }
    return engine.modelMemoryMegabytes() - used;
  }

  /**
   * Returns whether a server has memory for a model, or can evict enough other models.
   *
   * @param snapshot state of the service
   * @param server the server
   * @param spec the model
   * @param urgent whether the model has been unserved for long
   */
  static boolean canHost(
      ServiceSnapshot snapshot, ServerOrderState server, ModelSpec spec, boolean urgent) {
    double free = freeMegabytes(snapshot.engine(), server);
    double evictable = EvictionChooser.evictableMegabytes(snapshot, server, spec.name(), urgent);
    return free + evictable >= spec.weightsMegabytes();
  }

  /** Returns the memory that a load needs, in megabytes. */
  static double neededMegabytes(EngineSpec engine, ModelOrder order) {
    ModelSpec model = engine.models().get(order.ref().model());
    if (model == null) {
      return engine.modelMemoryMegabytes();
    }
    return order.ref().isAdapter() ? model.adapterMegabytes() : model.weightsMegabytes();
  }

  /** Returns the memory that an adapter takes, in megabytes; 0 if its model is not configured. */
  static double adapterMegabytes(EngineSpec engine, ModelRef adapter) {
    ModelSpec model = engine.models().get(adapter.model());
    return model == null ? 0 : model.adapterMegabytes();
  }

  /** Returns the memory that a loaded model and its adapters take, in megabytes. */
  static double loadedMegabytes(EngineSpec engine, String model, int adapters) {
    ModelSpec spec = engine.models().get(model);
    // A model that the configuration does not list may have any size.
    return spec == null
        ? engine.modelMemoryMegabytes()
        : spec.weightsMegabytes() + adapters * spec.adapterMegabytes();
  }

  private static double freedMegabytes(
      EngineSpec engine, ServerOrderState server, ModelOrder order) {
    String model = order.ref().model();
    Set<String> adapters = server.entry().inventory().adaptersByModel().get(model);
    return adapters == null ? 0 : loadedMegabytes(engine, model, adapters.size());
  }

  private static double usedMegabytes(EngineSpec engine, Inventory inventory) {
    double used = 0;
    for (Map.Entry<String, Set<String>> loaded : inventory.adaptersByModel().entrySet()) {
      used += loadedMegabytes(engine, loaded.getKey(), loaded.getValue().size());
    }
    return used;
  }
}
