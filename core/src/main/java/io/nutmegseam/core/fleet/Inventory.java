package io.nutmegseam.core.fleet;

import java.util.Map;
import java.util.Set;

/**
 * The models and adapters that a server has loaded, and its local copies of model weights.
 *
 * @param orderCount number of orders that the server has accepted; {@link #UNKNOWN_ORDER_COUNT} if
 *     the inventory was read from the server's announcement, which does not contain the count
 * @param busy whether an order is in flight
 * @param adaptersByModel loaded models, each with its loaded adapters
 * @param inHostMemory models whose weights are in the server's host memory
 * @param onDisk models whose weights are on the server's disk
 */
public record Inventory(
    long orderCount,
    boolean busy,
    Map<String, Set<String>> adaptersByModel,
    Set<String> inHostMemory,
    Set<String> onDisk) {
  /** The order count of an inventory that was read from a server's announcement. */
  public static final long UNKNOWN_ORDER_COUNT = -1;

  /** Returns whether a model is loaded, together with the adapter if the reference names one. */
  public boolean hasLoaded(ModelRef ref) {
    Set<String> adapters = adaptersByModel.get(ref.model());
    return adapters != null && (!ref.isAdapter() || adapters.contains(ref.adapter()));
  }

  /** Returns the number of loaded adapters. */
  public int adapterCount() {
    return adaptersByModel.values().stream().mapToInt(Set::size).sum();
  }
}
