package io.nutmegseam.node.gateway;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.orders.ModelOrder;
import io.nutmegseam.core.orders.OrderResponse;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Sends orders and requests for inventories, which count towards the limits of servers but do not
 * wait for permits.
 *
 * @param orders sends them
 * @param onSent receives the server of each of them
 */
record ChargedOrders(ServerOrders orders, Consumer<ServerEntry> onSent) implements ServerOrders {
  @Override
  public CompletableFuture<OrderResponse> send(
      ServerEntry server, ModelOrder order, OrderMetadata metadata) {
    onSent.accept(server);
    return orders.send(server, order, metadata);
  }

  @Override
  public CompletableFuture<Inventory> fetchInventory(ServerEntry server) {
    onSent.accept(server);
    return orders.fetchInventory(server);
  }
}
