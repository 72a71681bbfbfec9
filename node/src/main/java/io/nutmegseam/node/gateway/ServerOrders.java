package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.orders.ModelOrder;
import java.util.concurrent.CompletableFuture;

/** Gives orders to servers and reads what they hold. Results fail with a {@link CallException}. */
public interface ServerOrders {
  /** What a server says to an order. */
  enum Outcome {
    /** It carries the order out. */
    ACCEPTED,
    /** What the order asks for holds already. */
    ALREADY_DONE,
    /** Another order is under way, or the order count differs. */
    CONFLICT,
    /** The server does not take the order: another process, or an order that makes no sense. */
    REJECTED
  }

  /**
   * Who gives an order.
   *
   * @param holder name of the node
   * @param fence number of the node's tenure
   * @param expectedCount order count that the server must have
   */
  record Stamp(String holder, long fence, long expectedCount) {}

  /** Gives an order to a server. */
  CompletableFuture<Outcome> send(ServerEntry server, ModelOrder order, Stamp stamp);

  /** Reads what a server holds. */
  CompletableFuture<Inventory> inventory(ServerEntry server);
}
