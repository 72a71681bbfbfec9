package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.gateway.EngineSpec;
import io.nutmegseam.core.gateway.ModelSpec;
import java.util.Map;
import java.util.Set;

/** Adds up the memory of a server's weights and adapters. */
final class MemoryUse {
  private MemoryUse() {}

  /** Returns the memory that is free on a server, a pending load counted as done. */
  static double freeMegabytes(EngineSpec engine, ServerWork server) {
    double used = usedMegabytes(engine, server.entry().inventory());
    if (server.pending().isPresent()) {
      ModelOrder order = server.pending().get();
      if (order.operation() == ModelOrder.Operation.LOAD) {
        used += neededMegabytes(engine, order);
      } else if (server.followable()) {
        used -= unloadedMegabytes(engine, server, order);
      }
    }
    return engine.modelMemoryMegabytes() - used;
  }

  /** Returns the memory that an order needs. */
  static double neededMegabytes(EngineSpec engine, ModelOrder order) {
    ModelSpec model = engine.models().get(order.ref().model());
    if (model == null) {
      return engine.modelMemoryMegabytes();
    }
    return order.ref().isAdapter() ? model.adapterMegabytes() : model.weightsMegabytes();
  }

  /** Returns the memory that one loaded model takes with its adapters. */
  static double heldMegabytes(EngineSpec engine, String model, int adapters) {
    ModelSpec spec = engine.models().get(model);
    // A model that the configuration does not name may be of any size.
    return spec == null
        ? engine.modelMemoryMegabytes()
        : spec.weightsMegabytes() + adapters * spec.adapterMegabytes();
  }

  private static double unloadedMegabytes(EngineSpec engine, ServerWork server, ModelOrder order) {
    String model = order.ref().model();
    Set<String> adapters = server.entry().inventory().adaptersByModel().get(model);
    return adapters == null ? 0 : heldMegabytes(engine, model, adapters.size());
  }

  private static double usedMegabytes(EngineSpec engine, Inventory inventory) {
    double used = 0;
    for (Map.Entry<String, Set<String>> held : inventory.adaptersByModel().entrySet()) {
      used += heldMegabytes(engine, held.getKey(), held.getValue().size());
    }
    return used;
  }
}
