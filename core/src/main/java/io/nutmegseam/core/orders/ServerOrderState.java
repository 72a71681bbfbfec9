package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.ServerEntry;
import java.util.Optional;

/**
 * A server and its pending order.
 *
 * @param entry announcement of the server, with its inventory
 * @param pending order whose completion is not confirmed; empty if there is none
 * @param pendingUntilMillis monotonic time at which the pending order should complete
 * @param followUpAllowed whether the next order may be sent before the completion of the pending
 *     one is confirmed
 */
public record ServerOrderState(
    ServerEntry entry,
    Optional<ModelOrder> pending,
    long pendingUntilMillis,
    boolean followUpAllowed) {
  /** Returns the id of the server. */
  public String id() {
    return entry.incarnation().id();
  }

  /** Returns whether the server is not draining and has no order in flight. */
  public boolean canAcceptOrder() {
    return pending.isEmpty() && !entry.draining() && !entry.inventory().busy();
  }

  /** Returns whether the next order of a swap can be sent now. */
  boolean canContinueSwap() {
    return !entry.draining() && (followUpAllowed || canAcceptOrder());
  }

  /** Returns the model whose load is in flight, or empty if there is none. */
  Optional<String> loadingModel() {
    return pending
        .filter(order -> order.operation() == ModelOrder.Operation.LOAD)
        .filter(order -> !order.ref().isAdapter())
        .map(order -> order.ref().model());
  }

  /** Returns whether a load of a model is in flight. */
  boolean isLoading(String model) {
    return loadingModel().filter(model::equals).isPresent();
  }

  /** Returns whether an unload of a model is in flight. */
  boolean isUnloading(String model) {
    return pending
        .filter(order -> order.operation() == ModelOrder.Operation.UNLOAD)
        .filter(order -> !order.ref().isAdapter() && order.ref().model().equals(model))
        .isPresent();
  }

  /** Returns whether the server has loaded a model and is neither draining nor unloading it. */
  boolean serves(String model) {
    boolean loaded = entry.inventory().adaptersByModel().containsKey(model);
    return loaded && !entry.draining() && !isUnloading(model);
  }
}
