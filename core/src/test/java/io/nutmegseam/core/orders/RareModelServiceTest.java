package io.nutmegseam.core.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against models that are requested throughout a day and never served. */
class RareModelServiceTest {
  private static final long TARGET_MILLIS = 2_500;
  private static final long PATIENCE_MILLIS = 10_000;

  /** Share of the models requested throughout that may stay without service, and a constant. */
  private static final double MAX_NEVER_SERVED_SHARE = 0.1;

  private static final int MAX_NEVER_SERVED_OFFSET = 1;

  /** Popular models always have more waiting requests than rare ones. */
  @Nested
  class MoreModelsInDemandThanMemory {
    @Test
    void should_serve_rare_models_beside_popular_ones() {
      // GIVEN 4 servers for 2 models each, 12 popular and 20 rare models
      List<String> popular = names("popular", 12);
      List<String> rare = names("rare", 20);
      List<String> all = Stream.concat(popular.stream(), rare.stream()).toList();
      FleetSimulation simulation = new FleetSimulation(1, all);
      names("s", 4).forEach(id -> simulation.addServer(id, all, List.of()));
      popular.forEach(m -> simulation.addCaller(m, 700, TARGET_MILLIS, PATIENCE_MILLIS));
      rare.forEach(m -> simulation.addCaller(m, 8_000, TARGET_MILLIS, PATIENCE_MILLIS));
      // WHEN
      simulation.runUntil(60_000);
      // THEN
      assertFewNeverServed(simulation);
    }
  }

  /** Requests are refused at once, since a load from the weight store takes too long for them. */
  @Nested
  class ModelsWithoutCopy {
    @Test
    void should_load_refused_models_before_models_without_requests() {
      // GIVEN 30 models of which no server has a copy; only the last 8 are requested
      List<String> models = names("m", 30);
      FleetSimulation simulation = new FleetSimulation(2, models);
      names("s", 20).forEach(id -> simulation.addServer(id, List.of(), List.of()));
      models
          .subList(22, 30)
          .forEach(m -> simulation.addCaller(m, 4_000, TARGET_MILLIS, PATIENCE_MILLIS / 2));
      // WHEN
      simulation.runUntil(90_000);
      // THEN
      assertFewNeverServed(simulation);
    }
  }

  /** The only copies of some models are on servers that serve models in high demand. */
  @Nested
  class CopiesOnServersOfHotModels {
    @Test
    void should_serve_models_whose_copies_are_on_servers_that_cannot_evict() {
      // GIVEN two servers full of hot models, which have the only copies of 4 rare models
      List<String> hot = names("hot", 4);
      List<String> locked = names("locked", 4);
      List<String> rare = names("rare", 8);
      List<String> all = Stream.of(hot, locked, rare).flatMap(List::stream).toList();
      FleetSimulation simulation = new FleetSimulation(3, all);
      List<String> onDisk = Stream.concat(hot.stream(), locked.stream()).toList();
      simulation.addServer("s0", onDisk, hot.subList(0, 2));
      simulation.addServer("s1", onDisk, hot.subList(2, 4));
      IntStream.range(2, 6).forEach(i -> simulation.addServer("s" + i, rare, List.of()));
      hot.forEach(m -> simulation.addHotModel(m, 3));
      locked.forEach(m -> simulation.addCaller(m, 5_000, TARGET_MILLIS, PATIENCE_MILLIS));
      rare.forEach(m -> simulation.addCaller(m, 5_000, TARGET_MILLIS, PATIENCE_MILLIS));
      // WHEN
      simulation.runUntil(60_000);
      // THEN
      assertFewNeverServed(simulation);
    }
  }

  /** Servers stop to respond without leaving the fleet. */
  @Nested
  class SilentServers {
    @Test
    void should_load_models_on_servers_that_respond() {
      // GIVEN two copies of each model, one of them on a silent server
      List<String> models = names("m", 24);
      FleetSimulation simulation = new FleetSimulation(4, models);
      IntStream.range(0, 6)
          .forEach(
              i -> {
                simulation.addServer("live" + i, models.subList(4 * i, 4 * i + 4), List.of());
                simulation.addServer("dark" + i, models.subList(4 * i, 4 * i + 4), List.of());
                simulation.silence("dark" + i);
              });
      models.forEach(m -> simulation.addCaller(m, 5_000, TARGET_MILLIS, PATIENCE_MILLIS));
      // WHEN
      simulation.runUntil(60_000);
      // THEN
      assertFewNeverServed(simulation);
    }
  }

  /** A fleet with hot and rare models, of which a few have no copy. */
  @Nested
  class MixedFleet {
    @Test
    void should_serve_nearly_all_requested_models() {
      // GIVEN
      List<String> hot = names("hot", 12);
      List<String> rare = names("rare", 90);
      List<String> all = Stream.concat(hot.stream(), rare.stream()).toList();
      FleetSimulation simulation = new FleetSimulation(5, all);
      Random random = new Random(5);
      List<String> withCopy = all.subList(0, all.size() - 6);
      for (int i = 0; i < 22; i++) {
        List<String> onDisk = new ArrayList<>();
        withCopy.stream().filter(m -> random.nextInt(22) < 3).forEach(onDisk::add);
        simulation.addServer("s" + i, onDisk, List.of());
      }
      hot.forEach(m -> simulation.addHotModel(m, 6));
      rare.forEach(m -> simulation.addCaller(m, 8_000, TARGET_MILLIS, PATIENCE_MILLIS));
      // WHEN
      simulation.runUntil(60_000);
      // THEN
      assertFewNeverServed(simulation);
    }
  }

  private static void assertFewNeverServed(FleetSimulation simulation) {
    List<String> requested = new ArrayList<>();
    List<String> neverServed = new ArrayList<>();
    simulation
        .callers()
        .forEach(
            (model, caller) -> {
              if (caller.isRequestedThroughout()) {
                requested.add(model);
                if (caller.served() == 0) {
                  neverServed.add(model);
                }
              }
            });
    assertThat(neverServed)
        .as("never served of %d models requested throughout", requested.size())
        .hasSizeLessThanOrEqualTo(
            (int) (MAX_NEVER_SERVED_OFFSET + MAX_NEVER_SERVED_SHARE * requested.size()));
  }

  private static List<String> names(String prefix, int count) {
    return IntStream.range(0, count).mapToObj(i -> prefix + i).toList();
  }
}
