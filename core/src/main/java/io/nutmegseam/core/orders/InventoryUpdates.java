package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Computes the inventory of a server from its responses to orders. */
final class InventoryUpdates {
  private InventoryUpdates() {}

  /** Returns the inventory after the completion of an order. */
  static Inventory afterOrder(Inventory inventory, ModelOrder done) {
    Map<String, Set<String>> adapters = new HashMap<>();
    inventory
        .adaptersByModel()
        .forEach((model, loaded) -> adapters.put(model, new HashSet<>(loaded)));
    Set<String> inMemory = new HashSet<>(inventory.inHostMemory());
    Set<String> onDisk = new HashSet<>(inventory.onDisk());
    ModelRef ref = done.ref();
    boolean load = done.operation() == ModelOrder.Operation.LOAD;
    if (ref.isAdapter()) {
      Set<String> loaded = adapters.computeIfAbsent(ref.model(), m -> new HashSet<>());
      if (load) {
        loaded.add(ref.adapter());
      } else {
        loaded.remove(ref.adapter());
      }
    } else if (load) {
      adapters.putIfAbsent(ref.model(), Set.of());
      inMemory.add(ref.model());
      onDisk.add(ref.model());
    } else {
      adapters.remove(ref.model());
    }
    return new Inventory(inventory.orderCount(), false, adapters, inMemory, onDisk);
  }

  /** Returns the inventory without an adapter. */
  static Inventory withoutAdapter(Inventory inventory, ModelRef adapter) {
    Map<String, Set<String>> adapters = new HashMap<>(inventory.adaptersByModel());
    adapters.computeIfPresent(
        adapter.model(),
        (model, loaded) -> {
          Set<String> others = new HashSet<>(loaded);
          others.remove(adapter.adapter());
          return others;
        });
    return new Inventory(
        inventory.orderCount(),
        inventory.busy(),
        adapters,
        inventory.inHostMemory(),
        inventory.onDisk());
  }

  /** Returns the inventory after the server has accepted a further order. */
  static Inventory withNextOrderCount(Inventory inventory) {
    return withOrderCount(inventory, inventory.orderCount() + 1);
  }

  /** Returns the inventory with another order count. */
  static Inventory withOrderCount(Inventory inventory, long orderCount) {
    return new Inventory(
        orderCount,
        inventory.busy(),
        inventory.adaptersByModel(),
        inventory.inHostMemory(),
        inventory.onDisk());
  }
}
