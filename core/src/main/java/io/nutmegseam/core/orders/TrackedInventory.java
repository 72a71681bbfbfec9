package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The inventory of one server, as known from its responses to orders and its reports. Adapters
 * whose unload waits for their runs are in it until a report shows that they are gone. Confined to
 * one thread.
 */
final class TrackedInventory {
  /** A report shows a state that is less old than this. */
  private static final long MAX_REPORT_AGE_MILLIS = 1_500;

  private final Set<ModelRef> unloadingAdapters = new HashSet<>();
  private Inventory current;

  /** The order count that is proven, if the server may not have counted its last order. */
  private OptionalLong provenOrderCount = OptionalLong.empty();

  private long uncountedMillis;

  /** Creates the inventory that a server has reported. */
  TrackedInventory(Inventory reported) {
    this.current = reported;
  }

  /** Returns the inventory, with the adapters that are being unloaded, as they take room. */
  Inventory current() {
    return current;
  }

  /** Returns the inventory without the adapters that are being unloaded. */
  Inventory servable() {
    Inventory servable = current;
    for (ModelRef adapter : unloadingAdapters) {
      servable = InventoryUpdates.withoutAdapter(servable, adapter);
    }
    return servable;
  }

  /** Returns the adapters whose unload the server has accepted and not completed. */
  Set<ModelRef> unloadingAdapters() {
    return Set.copyOf(unloadingAdapters);
  }

  /** Records that the server has accepted a further order. */
  void onAccepted() {
    current = InventoryUpdates.withNextOrderCount(current);
    provenOrderCount = OptionalLong.empty();
  }

  /** Records that an accepted order has been carried out. */
  void onDone(ModelOrder order) {
    replace(InventoryUpdates.afterOrder(current, order));
  }

  /** Records that the server has accepted the unload of an adapter, which may be in use. */
  void onUnloading(ModelRef adapter) {
    if (current.hasLoaded(adapter)) {
      unloadingAdapters.add(adapter);
    }
  }

  /**
   * Records that an adapter is not loaded after an order to unload it. The server counts the order
   * only if the adapter was loaded before.
   */
  void onNotLoaded(ModelOrder unload, long nowMillis) {
    provenOrderCount = OptionalLong.of(current.orderCount());
    uncountedMillis = nowMillis;
    replace(InventoryUpdates.afterOrder(InventoryUpdates.withNextOrderCount(current), unload));
  }

  /** Records that the server has another order count than the tracked one. */
  void onOtherOrderCount() {
    if (provenOrderCount.isPresent()) {
      current = InventoryUpdates.withOrderCount(current, provenOrderCount.getAsLong());
      provenOrderCount = OptionalLong.empty();
    }
  }

  /**
   * Applies a report, unless it shows the state before an order that the server has accepted.
   *
   * @param reported the inventory in the report
   * @param nowMillis monotonic time
   * @return number of orders that the server has accepted beyond the tracked ones; empty if the
   *     report is not applied
   */
  OptionalLong onReport(Inventory reported, long nowMillis) {
    long accepted = reported.orderCount() - current.orderCount();
    if (accepted < 0 && !isUncountedOrder(reported, nowMillis)) {
      return OptionalLong.empty();
    }
    provenOrderCount = OptionalLong.empty();
    replace(reported);
    return OptionalLong.of(accepted);
  }

  private boolean isUncountedOrder(Inventory reported, long nowMillis) {
    return provenOrderCount.isPresent()
        && reported.orderCount() >= provenOrderCount.getAsLong()
        && nowMillis - uncountedMillis >= MAX_REPORT_AGE_MILLIS;
  }

  private void replace(Inventory next) {
    current = next;
    unloadingAdapters.removeIf(adapter -> !next.hasLoaded(adapter));
  }
}
