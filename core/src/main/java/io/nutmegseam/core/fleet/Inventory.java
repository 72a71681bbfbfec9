package io.nutmegseam.core.fleet;

import java.util.Map;
import java.util.Set;

/**
 * What a server holds.
 *
 * @param orderCount number of orders that the server has accepted; {@link #UNKNOWN_ORDER_COUNT}
 *     where only the server's announcement has been read, which does not tell
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
  /** The order count of an inventory that was read from an announcement. */
  public static final long UNKNOWN_ORDER_COUNT = -1;

  /** Returns whether a model, and the adapter if one is named, is loaded. */
  public boolean hasLoaded(ModelRef ref) {
    Set<String> adapters = adaptersByModel.get(ref.model());
    return adapters != null && (!ref.isAdapter() || adapters.contains(ref.adapter()));
  }

  /** Returns the number of loaded adapters. */
  public int adapterCount() {
    return adaptersByModel.values().stream().mapToInt(Set::size).sum();
  }
}
