package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.orders.ModelOrder;
import io.nutmegseam.core.orders.OrderResponse;
import io.nutmegseam.node.rows.CallException;
import java.util.concurrent.CompletableFuture;

/** Sends orders to servers and reads inventories. Futures fail with a {@link CallException}. */
public interface ServerOrders {
  /**
   * Sender of an order, and the conditions under which it is valid.
   *
   * @param holder name of the node that holds the order lease
   * @param fence fence of the holder's tenure
   * @param expectedCount order count that the server must have to accept the order
   * @param notAfterMillis monotonic time after which the order must not be sent
   */
  record OrderMetadata(String holder, long fence, long expectedCount, long notAfterMillis) {}

  /** Sends an order to a server. */
  CompletableFuture<OrderResponse> send(
      ServerEntry server, ModelOrder order, OrderMetadata metadata);

  /** Requests the inventory of a server, including its order count. */
  CompletableFuture<Inventory> fetchInventory(ServerEntry server);
}
