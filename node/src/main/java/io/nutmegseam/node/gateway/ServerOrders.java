package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.orders.ModelOrder;
import io.nutmegseam.core.orders.OrderAnswer;
import io.nutmegseam.node.rows.CallException;
import java.util.concurrent.CompletableFuture;

/** Gives orders to servers and reads what they hold. Results fail with a {@link CallException}. */
public interface ServerOrders {
  /**
   * Who gives an order.
   *
   * @param holder name of the node
   * @param fence number of the node's tenure
   * @param expectedCount order count that the server must have
   * @param notAfterMillis monotonic time after which the order must not leave
   */
  record OrderMetadata(String holder, long fence, long expectedCount, long notAfterMillis) {}

  /** Gives an order to a server. */
  CompletableFuture<OrderAnswer> send(ServerEntry server, ModelOrder order, OrderMetadata stamp);

  /** Reads what a server holds. */
  CompletableFuture<Inventory> fetchInventory(ServerEntry server);
}
