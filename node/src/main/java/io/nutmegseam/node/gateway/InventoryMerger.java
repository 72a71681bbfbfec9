package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Inventory;
import java.util.HashSet;
import java.util.Set;

/** Completes an inventory with copies of weights that an earlier one names. */
final class InventoryMerger {
  private InventoryMerger() {}

  /** Returns the newer inventory; loaded models and earlier copies are on the server's disk. */
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
