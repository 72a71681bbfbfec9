package io.nutmegseam.core.orders;

import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.gateway.ModelSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which models the servers of one service load and unload. A swap takes several orders, so
 * each model that is on its way keeps its server from one round to the next. Confined to one
 * thread.
 */
public final class SwapPlanner {
  /** Time that an unload waits for the requests that still run, in milliseconds. */
  private static final long UNLOAD_MILLIS = 400;

  /** Stands for the replicas of a model that has none. */
  private static final double NEARLY_NONE = 0.01;

  /** Time that an order which this node did not give may still take, in milliseconds. */
  private static final long UNKNOWN_ORDER_MILLIS = 1_000;

  /** Time that a load may still take which should be done already, in milliseconds. */
  private static final long OVERDUE_MILLIS = 250;

  private final Map<String, String> serverByModel = new HashMap<>();

  /**
   * The decisions of one round.
   *
   * @param orders orders to send now, one a server at most
   * @param readyAtMillisByModel monotonic time at which each model that is waited for is expected
   */
  public record Plan(List<ModelOrder> orders, Map<ModelRef, Long> readyAtMillisByModel) {}

  /** Plans one round. */
  public Plan plan(SwapView view) {
    Round round = new Round(view);
    round.dropFinished();
    round.placeReplicas();
    round.placeWaiting();
    round.placeUnseen();
    round.advance();
    List<ModelOrder> adapters = AdapterPlanner.plan(view, round.orderedServers());
    round.orders.addAll(adapters);
    return new Plan(round.orders, round.outlook());
  }

  /** Forgets all plans, for a node that begins to give orders. */
  public void reset() {
    serverByModel.clear();
  }

  private final class Round {
    private final SwapView view;
    private final List<ModelOrder> orders = new ArrayList<>();
    private final Set<String> takenServers = new HashSet<>();
    private int storeLoadsLeft;
    private int rareLoadsLeft;

    private Round(SwapView view) {
      this.view = view;
      this.storeLoadsLeft = view.storeRoom().allowed();
      this.rareLoadsLeft =
          view.demandByModel().isEmpty()
              ? view.storeRoom().allowed()
              : view.storeRoom().allowedForRare();
    }

    private Set<String> orderedServers() {
      Set<String> ids = new HashSet<>();
      orders.forEach(order -> ids.add(order.server().id()));
      return ids;
    }

    /** Drops plans whose model is loaded, or whose server or demand is gone. */
    private void dropFinished() {
      serverByModel
          .entrySet()
          .removeIf(
              entry -> {
                Optional<ServerWork> server = view.server(entry.getValue());
                return server.isEmpty()
                    || server.get().entry().draining()
                    || server.get().serves(entry.getKey())
                    || server.get().isLoading(entry.getKey())
                    || !view.engine().models().containsKey(entry.getKey());
              });
      for (Map.Entry<String, String> entry : serverByModel.entrySet()) {
        takenServers.add(entry.getValue());
        ServerWork server = view.server(entry.getValue()).orElseThrow();
        if (LoadSource.of(server.entry().inventory(), entry.getKey()) == LoadSource.STORE) {
          takeStoreLoad();
        }
      }
    }

    private void takeStoreLoad() {
      storeLoadsLeft--;
      rareLoadsLeft--;
    }

    /**
     * Gives each model that requests wait for a server: first those whose load answers most
     * requests in time, then the most urgent.
     */
    private void placeWaiting() {
      List<String> waiting = new ArrayList<>();
      for (String model : view.engine().models().keySet()) {
        if (view.totalDemand(model).waiting() > 0 && view.replicas(model) == 0) {
          waiting.add(model);
        }
      }
      waiting.sort(
          Comparator.<String>comparingDouble(m -> -view.totalDemand(m).worth())
              .thenComparingLong(m -> view.totalDemand(m).earliestDeadlineMillis())
              .thenComparing(Comparator.naturalOrder()));
      waiting.forEach(this::place);
    }

    /**
     * Gives models in high demand their replicas. They go before models that few requests wait for,
     * which else take every server that becomes free.
     */
    private void placeReplicas() {
      List<String> wanting = new ArrayList<>();
      for (String model : view.engine().models().keySet()) {
        double ratePerSecond = view.totalDemand(model).ratePerSecond();
        int wanted = ReplicaGoal.wanted(ratePerSecond, view.engine().slots());
        if (wanted > 1 && view.replicas(model) < wanted) {
          wanting.add(model);
        }
      }
      wanting.sort(
          Comparator.<String>comparingDouble(m -> -ratePerReplica(m))
              .thenComparing(Comparator.naturalOrder()));
      wanting.forEach(this::place);
    }

    /** A model without a replica goes before every model that has one. */
    private double ratePerReplica(String model) {
      return view.totalDemand(model).ratePerSecond() / (view.replicas(model) + NEARLY_NONE);
    }

    /**
     * Spends what is left of the weight store on models that no server has a copy of, in the order
     * in which the configuration lists them.
     */
    private void placeUnseen() {
      List<String> unseen =
          view.engine().models().keySet().stream().filter(model -> !view.hasCopy(model)).toList();
      for (String model : unseen) {
        if (rareLoadsLeft > 0) {
          place(model);
        }
      }
    }

    /**
     * Gives a model the server that can have loaded it first. A server that is busy may be the best
     * one for its copy of the weights; it is then kept for the model.
     */
    private void place(String model) {
      if (serverByModel.containsKey(model)) {
        return;
      }
      ModelSpec spec = view.engine().models().get(model);
      Optional<ServerWork> best =
          view.servers().stream()
              .filter(s -> !s.entry().draining() && !takenServers.contains(s.id()))
              .filter(s -> !s.serves(model) && hasRoom(s, spec))
              .filter(s -> source(s, model) != LoadSource.STORE || mayUseStore(s, model))
              .min(
                  Comparator.<ServerWork>comparingLong(s -> readyMillis(s, spec))
                      .thenComparingDouble(this::heldRate)
                      .thenComparingInt(s -> s.entry().inventory().onDisk().size())
                      .thenComparing(ServerWork::id));
      if (best.isPresent()) {
        if (source(best.get(), model) == LoadSource.STORE) {
          takeStoreLoad();
        }
        serverByModel.put(model, best.get().id());
        takenServers.add(best.get().id());
      }
    }

    /**
     * A load from the store begins only where it need not wait, and for a model of which there is a
     * copy only if its replicas cannot take its demand: such loads are few and keep their server
     * for seconds.
     */
    private boolean mayUseStore(ServerWork server, String model) {
      double ratePerSecond = view.totalDemand(model).ratePerSecond();
      boolean isShort =
          ReplicaGoal.isShort(ratePerSecond, view.replicas(model), view.engine().slots());
      return server.isFree()
          && (isShort ? storeLoadsLeft > 0 : rareLoadsLeft > 0 && !view.hasCopy(model));
    }

    /** Returns when a server can have loaded a model, in monotonic milliseconds. */
    private long readyMillis(ServerWork server, ModelSpec spec) {
      long busyMillis = server.entry().inventory().busy() ? UNKNOWN_ORDER_MILLIS : 0;
      return Math.max(view.nowMillis(), server.pendingUntilMillis())
          + busyMillis
          + expectedMillis(server, spec);
    }

    private boolean hasRoom(ServerWork server, ModelSpec spec) {
      double free = MemoryUse.freeMegabytes(view.engine(), server);
      double evictable = VictimChooser.evictableMegabytes(view, server, spec.name());
      return free + evictable >= spec.weightsMegabytes();
    }

    /** Returns the requests a second for the models that a server holds, shared by replicas. */
    private double heldRate(ServerWork server) {
      return server.entry().inventory().adaptersByModel().keySet().stream()
          .mapToDouble(m -> view.totalDemand(m).ratePerSecond() / Math.max(1, view.replicas(m)))
          .sum();
    }

    private LoadSource source(ServerWork server, String model) {
      return LoadSource.of(server.entry().inventory(), model);
    }

    private long expectedMillis(ServerWork server, ModelSpec spec) {
      double free = MemoryUse.freeMegabytes(view.engine(), server);
      long unloadMillis = free >= spec.weightsMegabytes() ? 0 : UNLOAD_MILLIS;
      return unloadMillis + source(server, spec.name()).loadMillis(spec);
    }

    /** Emits the next order of each plan whose server can take one. */
    private void advance() {
      Map<String, String> plans = new HashMap<>(serverByModel);
      plans.forEach(
          (model, id) -> {
            ServerWork server = view.server(id).orElseThrow();
            if (server.canGoOn()) {
              step(model, server);
            }
          });
    }

    private void step(String model, ServerWork server) {
      ModelSpec spec = view.engine().models().get(model);
      if (MemoryUse.freeMegabytes(view.engine(), server) >= spec.weightsMegabytes()) {
        orders.add(
            new ModelOrder(
                server.entry().incarnation(),
                ModelOrder.Operation.LOAD,
                new ModelRef(model, ""),
                source(server, model)));
        serverByModel.remove(model);
        return;
      }
      Optional<String> victim = VictimChooser.choose(view, server, model);
      if (victim.isEmpty()) {
        serverByModel.remove(model);
        return;
      }
      orders.add(
          new ModelOrder(
              server.entry().incarnation(),
              ModelOrder.Operation.UNLOAD,
              new ModelRef(victim.get(), ""),
              LoadSource.NONE));
    }

    /** Returns when each model that is waited for is expected to be loaded. */
    private Map<ModelRef, Long> outlook() {
      Map<ModelRef, Long> readyAt = new HashMap<>();
      long queueMillis = 0;
      for (String model : view.engine().models().keySet()) {
        if (view.totalDemand(model).waiting() == 0) {
          continue;
        }
        Optional<Long> expected = expectedReady(model);
        long at =
            expected.orElse(
                view.nowMillis()
                    + view.engine().models().get(model).storeLoadMillis()
                    + queueMillis);
        if (expected.isEmpty()) {
          queueMillis +=
              view.engine().models().get(model).storeLoadMillis() / view.storeRoom().parallel();
        }
        readyAt.put(new ModelRef(model, ""), at);
      }
      view.demandByModel()
          .keySet()
          .forEach(ref -> readyAt.computeIfAbsent(ref, r -> readyAt.get(r.base())));
      return readyAt;
    }

    private Optional<Long> expectedReady(String model) {
      ModelSpec spec = view.engine().models().get(model);
      for (ServerWork server : view.servers()) {
        if (server.serves(model)) {
          return Optional.of(view.nowMillis());
        }
        if (server.isLoading(model)) {
          return Optional.of(
              Math.max(server.pendingUntilMillis(), view.nowMillis() + OVERDUE_MILLIS));
        }
      }
      return Optional.ofNullable(serverByModel.get(model))
          .flatMap(view::server)
          .map(s -> readyMillis(s, spec))
          .or(() -> copyReady(spec));
    }

    /** When a busy server with a copy can have loaded the model. */
    private Optional<Long> copyReady(ModelSpec spec) {
      return view.servers().stream()
          .filter(s -> !s.entry().draining() && source(s, spec.name()) != LoadSource.STORE)
          .map(s -> readyMillis(s, spec))
          .min(Comparator.naturalOrder());
    }
  }
}
