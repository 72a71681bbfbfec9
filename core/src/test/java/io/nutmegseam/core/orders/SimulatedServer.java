package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.gateway.EngineSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A model server that checks order counts, carries orders out over time, and reports with a lag.
 */
final class SimulatedServer {
  private static final long REPORT_LAG_MILLIS = 200;

  private final EngineSpec engine;
  private final Map<String, Set<String>> held = new HashMap<>();
  private final Set<String> onDisk = new HashSet<>();
  private final List<Snapshot> history = new ArrayList<>();
  private final List<Late> late = new ArrayList<>();
  private ModelOrder running;
  private long runningUntilMillis;
  private long count;
  private boolean overcommitted;

  private record Snapshot(long atMillis, Inventory inventory) {}

  private record Late(ModelOrder order, long expectedCount, long atMillis) {}

  SimulatedServer(EngineSpec engine) {
    this.engine = engine;
    remember(0);
  }

  boolean isOvercommitted() {
    return overcommitted;
  }

  Inventory current() {
    Map<String, Set<String>> copy = new HashMap<>();
    held.forEach((model, adapters) -> copy.put(model, Set.copyOf(adapters)));
    return new Inventory(count, running != null, copy, Set.of(), Set.copyOf(onDisk));
  }

  Inventory report(long nowMillis) {
    Inventory seen = history.get(0).inventory();
    for (Snapshot snapshot : history) {
      if (snapshot.atMillis() <= nowMillis - REPORT_LAG_MILLIS) {
        seen = snapshot.inventory();
      }
    }
    return seen;
  }

  void deliverLate(ModelOrder order, long expectedCount, long atMillis) {
    late.add(new Late(order, expectedCount, atMillis));
  }

  OrderAnswer accept(ModelOrder order, long expectedCount, long nowMillis, long takesMillis) {
    if (expectedCount != count || (running != null && !order.ref().isAdapter())) {
      return OrderAnswer.CONFLICT;
    }
    count++;
    if (order.ref().isAdapter()) {
      complete(order);
    } else {
      running = order;
      runningUntilMillis = nowMillis + takesMillis;
      reserve(order);
    }
    remember(nowMillis);
    return OrderAnswer.ACCEPTED;
  }

  void advance(long nowMillis) {
    for (Late one : List.copyOf(late)) {
      if (one.atMillis() <= nowMillis) {
        late.remove(one);
        accept(one.order(), one.expectedCount(), nowMillis, 500);
      }
    }
    if (running != null && nowMillis >= runningUntilMillis) {
      ModelOrder done = running;
      running = null;
      complete(done);
      remember(nowMillis);
    }
  }

  private void reserve(ModelOrder order) {
    if (order.operation() == ModelOrder.Operation.LOAD) {
      double used = used() + engine.models().get(order.ref().model()).weightsMegabytes();
      overcommitted |= used > engine.modelMemoryMegabytes();
    }
  }

  private void complete(ModelOrder order) {
    boolean load = order.operation() == ModelOrder.Operation.LOAD;
    if (order.ref().isAdapter()) {
      Set<String> adapters = held.computeIfAbsent(order.ref().model(), m -> new HashSet<>());
      if (load) {
        adapters.add(order.ref().adapter());
      } else {
        adapters.remove(order.ref().adapter());
      }
      int total = held.values().stream().mapToInt(Set::size).sum();
      overcommitted |= total > engine.adapterSlots();
    } else if (load) {
      held.putIfAbsent(order.ref().model(), new HashSet<>());
      onDisk.add(order.ref().model());
    } else {
      held.remove(order.ref().model());
    }
  }

  private double used() {
    double used = 0;
    for (Map.Entry<String, Set<String>> one : held.entrySet()) {
      used += MemoryUse.heldMegabytes(engine, one.getKey(), one.getValue().size());
    }
    return used;
  }

  private void remember(long nowMillis) {
    history.add(new Snapshot(nowMillis, current()));
  }
}
