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

/** Decides which adapters are loaded on servers that hold their models. */
final class AdapterPlanner {
  private AdapterPlanner() {}

  /**
   * Plans loads of adapters that requests wait for.
   *
   * @param view what is known
   * @param taken servers that get another order in this round
   */
  static List<ModelOrder> plan(SwapView view, Set<String> taken) {
    Set<String> used = new HashSet<>(taken);
    List<ModelOrder> orders = new ArrayList<>();
    view.demandByModel().entrySet().stream()
        .filter(entry -> entry.getKey().isAdapter() && entry.getValue().waiting() > 0)
        .filter(entry -> !isHeldOrComing(view, entry.getKey()))
        .sorted(
            Comparator.<Map.Entry<ModelRef, ModelDemand>>comparingLong(
                    entry -> entry.getValue().earliestDeadlineMillis())
                .thenComparing(entry -> entry.getKey().toString()))
        .forEach(
            entry ->
                order(view, entry.getKey(), used)
                    .ifPresent(
                        order -> {
                          used.add(order.server().id());
                          orders.add(order);
                        }));
    return orders;
  }

  private static boolean isHeldOrComing(SwapView view, ModelRef ref) {
    return view.servers().stream()
        .anyMatch(
            s ->
                (s.serves(ref.model()) && s.entry().inventory().hasLoaded(ref))
                    || s.pending().filter(order -> order.ref().equals(ref)).isPresent());
  }

  private static Optional<ModelOrder> order(SwapView view, ModelRef ref, Set<String> used) {
    ModelSpec spec = view.engine().models().get(ref.model());
    if (spec == null) {
      return Optional.empty();
    }
    return view.servers().stream()
        .filter(s -> s.serves(ref.model()) && s.isFree() && !used.contains(s.id()))
        .min(
            Comparator.<ServerWork>comparingInt(s -> s.entry().inventory().adapterCount())
                .thenComparing(ServerWork::id))
        .flatMap(s -> orderAt(view, s, ref, spec));
  }

  private static Optional<ModelOrder> orderAt(
      SwapView view, ServerWork server, ModelRef ref, ModelSpec spec) {
    Inventory inventory = server.entry().inventory();
    boolean slotFree = inventory.adapterCount() < view.engine().adapterSlots();
    boolean fits = MemoryUse.freeMegabytes(view.engine(), server) >= spec.adapterMegabytes();
    if (slotFree && fits) {
      return Optional.of(
          new ModelOrder(
              server.entry().incarnation(), ModelOrder.Operation.LOAD, ref, LoadSource.NONE));
    }
    return leastWanted(view, inventory)
        .map(
            victim ->
                new ModelOrder(
                    server.entry().incarnation(),
                    ModelOrder.Operation.UNLOAD,
                    victim,
                    LoadSource.NONE));
  }

  private static Optional<ModelRef> leastWanted(SwapView view, Inventory inventory) {
    List<ModelRef> held = new ArrayList<>();
    inventory
        .adaptersByModel()
        .forEach((model, adapters) -> adapters.forEach(a -> held.add(new ModelRef(model, a))));
    return held.stream()
        .filter(ref -> demand(view, ref).waiting() == 0)
        .min(
            Comparator.<ModelRef>comparingDouble(ref -> demand(view, ref).ratePerSecond())
                .thenComparing(ModelRef::toString));
  }

  private static ModelDemand demand(SwapView view, ModelRef ref) {
    return view.demandByModel().getOrDefault(ref, ModelDemand.NONE);
  }
}
