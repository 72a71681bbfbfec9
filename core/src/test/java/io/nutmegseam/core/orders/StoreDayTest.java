package io.nutmegseam.core.orders;

import static io.nutmegseam.core.orders.FleetFixtures.ref;
import static org.assertj.core.api.Assertions.assertThat;

import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ModelRef;
import io.nutmegseam.core.gateway.EngineSpec;
import io.nutmegseam.core.gateway.ModelSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A day of a fleet whose servers join during seconds and are lost twice, and a weight store that
 * serves two loads at a time, with more requested models without copy than it can load.
 */
class StoreDayTest {
  private static final long LOAD_MILLIS = 10_200;
  private static final long TICK_MILLIS = 50;
  private static final long REPORT_LAG_MILLIS = 400;
  private static final int FULL_SPEED_LOADS = 2;
  private static final int SERVERS = 22;
  private static final long LAST_JOIN_MILLIS = 5_000;
  private static final long TRAFFIC_FROM_MILLIS = 18_000;
  private static final long TRAFFIC_TO_MILLIS = 59_000;
  private static final long[] LOSS_TIMES_MILLIS = {26_000, 27_000};
  private static final int SERVERS_PER_LOSS = 2;
  private static final int HELD_MODELS = 40;
  private static final int MODELS_WITHOUT_COPY = 14;

  /** Time until the end of joining is known, and until the demand for a model is. */
  private static final long SETTLE_MILLIS = 2_000;

  private final Map<String, Load> loadByServer = new HashMap<>();
  private final Map<String, Inventory> inventoryByServer = new LinkedHashMap<>();
  private final Set<String> firstCopies = new HashSet<>();
  private final SwapPlanner planner = new SwapPlanner();
  private final StoreLoadLimiter limiter = new StoreLoadLimiter(16, 5_000);
  private final SimulatedWeightStore store =
      new SimulatedWeightStore(FULL_SPEED_LOADS, LOAD_MILLIS);
  private final EngineSpec engine = engine();
  private int lostLoads;

  private record Load(ModelOrder order, long endMillis) {}

  /** Guards against store loads that bring no model into service that was not served before. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void should_use_the_places_of_the_store_for_first_copies(long seed) {
    // GIVEN
    SplittableRandom random = new SplittableRandom(seed);
    // WHEN
    for (long now = 0; now < TRAFFIC_TO_MILLIS; now += TICK_MILLIS) {
      join(now);
      lose(random, now);
      observe(now);
      plan(now);
    }
    // THEN
    long usableMillis = TRAFFIC_TO_MILLIS - LAST_JOIN_MILLIS - SETTLE_MILLIS;
    long loads = FULL_SPEED_LOADS * (usableMillis / (LOAD_MILLIS + REPORT_LAG_MILLIS));
    assertThat(firstCopies.size() + lostLoads).isGreaterThanOrEqualTo((int) loads);
  }

  /** Adds servers at equal intervals; the models that the configuration names first join last. */
  private void join(long nowMillis) {
    int joined = (int) (SERVERS * nowMillis / LAST_JOIN_MILLIS);
    for (int i = 0; i < Math.min(SERVERS, joined); i++) {
      String id = "s" + i;
      if (nowMillis <= LAST_JOIN_MILLIS && !inventoryByServer.containsKey(id)) {
        int first = (SERVERS - 1 - i) * HELD_MODELS / SERVERS;
        int last = (SERVERS - i) * HELD_MODELS / SERVERS;
        Set<String> onDisk = new HashSet<>();
        for (int model = first; model < last; model++) {
          onDisk.add("held" + model);
        }
        Map<String, Set<String>> loaded = i == 0 ? Map.of("hot", Set.of()) : Map.of();
        inventoryByServer.put(id, new Inventory(1, false, loaded, Set.of(), onDisk));
      }
    }
  }

  private void lose(SplittableRandom random, long nowMillis) {
    for (long lossMillis : LOSS_TIMES_MILLIS) {
      for (int i = 0; lossMillis == nowMillis && i < SERVERS_PER_LOSS; i++) {
        List<String> ids = new ArrayList<>(inventoryByServer.keySet());
        String lost = ids.get(1 + random.nextInt(ids.size() - 1));
        inventoryByServer.remove(lost);
        if (loadByServer.remove(lost) != null) {
          lostLoads++;
          limiter.onUntracked(lost, nowMillis);
        }
      }
    }
  }

  private void observe(long nowMillis) {
    Map.copyOf(loadByServer)
        .forEach(
            (server, load) -> {
              if (nowMillis < load.endMillis() + REPORT_LAG_MILLIS) {
                limiter.onProgress(server, nowMillis);
                return;
              }
              limiter.onDone(server, nowMillis);
              loadByServer.remove(server);
              String model = load.order().ref().model();
              if (model.startsWith("rare")) {
                firstCopies.add(model);
              }
              inventoryByServer.computeIfPresent(server, (id, before) -> with(before, model));
            });
  }

  private static Inventory with(Inventory before, String model) {
    Map<String, Set<String>> loaded = new HashMap<>(before.adaptersByModel());
    loaded.put(model, Set.of());
    Set<String> onDisk = new HashSet<>(before.onDisk());
    onDisk.add(model);
    return new Inventory(before.orderCount() + 1, false, loaded, Set.of(), onDisk);
  }

  private void plan(long nowMillis) {
    Map<ModelRef, ModelDemand> demand = demand(nowMillis);
    List<ServerOrderState> servers = new ArrayList<>();
    inventoryByServer.forEach(
        (id, inventory) -> {
          Optional<Load> load = Optional.ofNullable(loadByServer.get(id));
          servers.add(
              new ServerOrderState(
                  FleetFixtures.entry(id, inventory, false),
                  load.map(Load::order),
                  load.map(Load::endMillis).orElse(0L),
                  false));
        });
    if (demand.isEmpty()) {
      limiter.onNoDemand(nowMillis);
    }
    StoreCapacity capacity = limiter.capacity(engine.storeLoadsPerSecond(), nowMillis);
    ServiceSnapshot snapshot = new ServiceSnapshot(engine, servers, demand, capacity, nowMillis);
    for (ModelOrder order : planner.plan(snapshot).orders()) {
      if (order.isStoreLoad()) {
        limiter.onStarted(order.server().id(), "m", LOAD_MILLIS, nowMillis);
        loadByServer.put(order.server().id(), new Load(order, store.begin(nowMillis)));
      }
    }
  }

  /** Requests for models without copy, and a model that its only replica cannot serve alone. */
  private static Map<ModelRef, ModelDemand> demand(long nowMillis) {
    Map<ModelRef, ModelDemand> demand = new HashMap<>();
    if (nowMillis >= TRAFFIC_FROM_MILLIS) {
      long requests = 1 + (nowMillis - TRAFFIC_FROM_MILLIS) / 4_000;
      demand.put(ref("hot"), new ModelDemand(0, 0, Long.MAX_VALUE, 60, 15 * requests));
      for (int i = 0; i < MODELS_WITHOUT_COPY; i++) {
        demand.put(ref("rare" + i), new ModelDemand(0, 0, Long.MAX_VALUE, 0.25, requests));
      }
    }
    return demand;
  }

  private static EngineSpec engine() {
    Map<String, ModelSpec> specs = new LinkedHashMap<>();
    for (int i = 0; i < HELD_MODELS; i++) {
      addModel(specs, "held" + i);
    }
    for (int i = 0; i < MODELS_WITHOUT_COPY; i++) {
      addModel(specs, "rare" + i);
    }
    addModel(specs, "hot");
    return new EngineSpec(12, 174_000, FleetFixtures.SERVER_MEGABYTES, 8, 38, specs);
  }

  private static void addModel(Map<String, ModelSpec> specs, String model) {
    specs.put(
        model, new ModelSpec(model, FleetFixtures.MODEL_MEGABYTES, LOAD_MILLIS, 800, 400, 10, 66));
  }
}
