package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.ServerEntry;
import java.util.Optional;

/**
 * A server and the order that it carries out.
 *
 * @param entry what the server holds
 * @param pending the order that has not been seen to be done; empty if there is none
 * @param pendingUntilMillis monotonic time at which the pending order should be done
 * @param followUpAllowed whether the next order may be sent before the pending one is seen to be
 *     done
 */
public record ServerOrderState(
    ServerEntry entry,
    Optional<ModelOrder> pending,
    long pendingUntilMillis,
    boolean followUpAllowed) {
  /** Returns the server's id. */
  public String id() {
    return entry.incarnation().id();
  }

  /** Returns whether the server can take an order now. */
  public boolean canAcceptOrder() {
    return pending.isEmpty() && !entry.draining() && !entry.inventory().busy();
  }

  /** Returns whether the next order of a swap can be sent now. */
  boolean canContinueSwap() {
    return !entry.draining() && (followUpAllowed || canAcceptOrder());
  }

  /** Returns the model whose load is under way. */
  Optional<String> loadingModel() {
    return pending
        .filter(order -> order.operation() == ModelOrder.Operation.LOAD)
        .filter(order -> !order.ref().isAdapter())
        .map(order -> order.ref().model());
  }

  /** Returns whether a load of a model is under way. */
  boolean isLoading(String model) {
    return loadingModel().filter(model::equals).isPresent();
  }

  /** Returns whether an unload of a model is under way. */
  boolean isUnloading(String model) {
    return pending
        .filter(order -> order.operation() == ModelOrder.Operation.UNLOAD)
        .filter(order -> !order.ref().isAdapter() && order.ref().model().equals(model))
        .isPresent();
  }

  /** Returns whether the server holds a model and keeps it. */
  boolean serves(String model) {
    boolean held = entry.inventory().adaptersByModel().containsKey(model);
    return held && !entry.draining() && !isUnloading(model);
  }
}
