package io.nutmegseam.core.fleet;

import java.util.Map;
import java.util.Set;

/**
 * What a server holds.
 *
 * @param orderCount number of orders that the server has accepted
 * @param busy whether an order is under way
 * @param adaptersByModel loaded models, each with its loaded adapters
 * @param inHostMemory models whose weights lie in the server's host memory
 * @param onDisk models whose weights lie on the server's disk
 */
public record Inventory(
    long orderCount,
    boolean busy,
    Map<String, Set<String>> adaptersByModel,
    Set<String> inHostMemory,
    Set<String> onDisk) {
  /** Returns whether a model, and the adapter if one is named, is loaded. */
  public boolean holds(ModelRef ref) {
    Set<String> adapters = adaptersByModel.get(ref.model());
    return adapters != null && (!ref.isAdapter() || adapters.contains(ref.adapter()));
  }

  /** Returns the number of loaded adapters. */
  public int adapterCount() {
    return adaptersByModel.values().stream().mapToInt(Set::size).sum();
  }
}
