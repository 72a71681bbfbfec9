package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.gateway.ModelSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Decides which adapters are loaded on servers that have loaded their models. */
final class AdapterPlanner {
  private AdapterPlanner() {}

  /**
   * Plans loads of adapters that have waiting requests, by earliest deadline first. A server that
   * lacks memory or an adapter slot unloads another adapter first.
   *
   * @param snapshot state of the service
   * @param orderedServers ids of the servers that get another order in this round
   */
  static List<ModelOrder> plan(ServiceSnapshot snapshot, Set<String> orderedServers) {
    Set<String> excludedServers = new HashSet<>(orderedServers);
    List<ModelOrder> orders = new ArrayList<>();
    snapshot.demandByModel().entrySet().stream()
        .filter(entry -> entry.getKey().isAdapter() && entry.getValue().waiting() > 0)
        .filter(entry -> !isLoadedOrPending(snapshot, entry.getKey()))
        .sorted(
            Comparator.<Map.Entry<ModelRef, ModelDemand>>comparingLong(
                    entry -> entry.getValue().earliestDeadlineMillis())
                .thenComparing(entry -> entry.getKey().toString()))
        .forEach(
            entry ->
                orderFor(snapshot, entry.getKey(), excludedServers)
                    .ifPresent(
                        order -> {
                          excludedServers.add(order.server().id());
                          orders.add(order);
                        }));
    return orders;
  }

  private static boolean isLoadedOrPending(ServiceSnapshot snapshot, ModelRef ref) {
    return snapshot.servers().stream()
        .anyMatch(
            s ->
                (s.serves(ref.model()) && s.entry().inventory().hasLoaded(ref))
                    || s.pending().filter(order -> order.ref().equals(ref)).isPresent());
  }

  private static Optional<ModelOrder> orderFor(
      ServiceSnapshot snapshot, ModelRef ref, Set<String> excludedServers) {
    ModelSpec spec = snapshot.engine().models().get(ref.model());
    if (spec == null) {
      return Optional.empty();
    }
    return snapshot.servers().stream()
        .filter(
            s -> s.serves(ref.model()) && s.canAcceptOrder() && !excludedServers.contains(s.id()))
        .min(
            Comparator.<ServerOrderState>comparingInt(s -> s.entry().inventory().adapterCount())
                .thenComparing(ServerOrderState::id))
        .flatMap(s -> orderForServer(snapshot, s, ref, spec));
  }

  private static Optional<ModelOrder> orderForServer(
      ServiceSnapshot snapshot, ServerOrderState server, ModelRef ref, ModelSpec spec) {
    Inventory inventory = server.entry().inventory();
    boolean slotFree = inventory.adapterCount() < snapshot.engine().adapterSlots();
    boolean fits = MemoryUse.freeMegabytes(snapshot.engine(), server) >= spec.adapterMegabytes();
    if (slotFree && fits) {
      return Optional.of(
          new ModelOrder(
              server.entry().incarnation(), ModelOrder.Operation.LOAD, ref, LoadSource.NONE));
    }
    return lowestDemandAdapter(snapshot, inventory)
        .map(
            candidate ->
                new ModelOrder(
                    server.entry().incarnation(),
                    ModelOrder.Operation.UNLOAD,
                    candidate,
                    LoadSource.NONE));
  }

  private static Optional<ModelRef> lowestDemandAdapter(
      ServiceSnapshot snapshot, Inventory inventory) {
    List<ModelRef> loaded = new ArrayList<>();
    inventory
        .adaptersByModel()
        .forEach((model, adapters) -> adapters.forEach(a -> loaded.add(new ModelRef(model, a))));
    return loaded.stream()
        .filter(ref -> demand(snapshot, ref).waiting() == 0)
        .min(
            Comparator.<ModelRef>comparingDouble(ref -> demand(snapshot, ref).ratePerSecond())
                .thenComparing(ModelRef::toString));
  }

  private static ModelDemand demand(ServiceSnapshot snapshot, ModelRef ref) {
    return snapshot.demandByModel().getOrDefault(ref, ModelDemand.NONE);
  }
}
