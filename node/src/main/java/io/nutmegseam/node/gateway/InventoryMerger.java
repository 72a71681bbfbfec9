package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Inventory;
import java.util.HashSet;
import java.util.Set;

/** Adds the weight copies in an earlier inventory to a newer one that lists none. */
final class InventoryMerger {
  private InventoryMerger() {}

  /**
   * Returns the newer inventory. If it lists no weights on disk, adds those of the earlier
   * inventory and of the loaded models, and adds the earlier weights in host memory unless it lists
   * some.
   */
  static Inventory merge(Inventory newer, Inventory earlier) {
    if (!newer.onDisk().isEmpty()) {
      return newer;
    }
    Set<String> onDisk = new HashSet<>(earlier.onDisk());
    onDisk.addAll(newer.adaptersByModel().keySet());
    Set<String> inMemory =
        newer.inHostMemory().isEmpty() ? earlier.inHostMemory() : newer.inHostMemory();
    return new Inventory(
        newer.orderCount(), newer.busy(), newer.adaptersByModel(), inMemory, onDisk);
  }
}
