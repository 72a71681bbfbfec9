package io.nutmegseam.node.gateway;

import io.nutmegseam.core.gateway.EngineSpec;
import io.nutmegseam.core.gateway.ModelSpec;
import io.nutmegseam.core.orders.ModelOrder;

/** Estimates the duration of orders. */
final class OrderDurations {
  /** An unload waits for the running requests. */
  private static final long UNLOAD_MILLIS = 200;

  private static final long ADAPTER_MILLIS = 10;

  private OrderDurations() {}

  /** Returns the expected duration of an order that starts immediately, in milliseconds. */
  static long expectedMillis(ModelOrder order, EngineSpec engine) {
    ModelSpec model = engine.models().get(order.ref().model());
    if (order.ref().isAdapter() || model == null) {
      return ADAPTER_MILLIS;
    }
    return order.operation() == ModelOrder.Operation.UNLOAD
        ? UNLOAD_MILLIS
        : switch (order.source()) {
          case HOST_MEMORY -> model.hostMemoryLoadMillis();
          case DISK -> model.diskLoadMillis();
          case STORE, NONE -> model.storeLoadMillis();
        };
  }
}
