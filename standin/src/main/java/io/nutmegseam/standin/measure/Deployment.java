package io.nutmegseam.standin.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * The sizes of a measured deployment.
 *
 * @param name name on the command line
 * @param dataCentres data centres
 * @param nodes nodes, spread over the data centres
 * @param engines model engines
 * @param serviceServers backend servers of the plain service
 * @param models models
 * @param adapters adapters
 * @param loadsPerSecond loads that the weight store allows
 * @param idleSecondsPerColdStartSecond the users' exchange rate
 * @param burstsPerSecond bursts of first requests a second
 */
public record Deployment(
    String name,
    List<String> dataCentres,
    int nodes,
    int engines,
    int serviceServers,
    int models,
    int adapters,
    double loadsPerSecond,
    double idleSecondsPerColdStartSecond,
    double burstsPerSecond) {
  private static final long GIBIBYTE = 1L << 30;
  private static final long MEBIBYTE = 1L << 20;
  private static final int MODEL_SIZES = 5;
  private static final int SMALLEST_MODEL_GIBIBYTES = 6;
  private static final int GIBIBYTES_PER_SIZE = 3;
  private static final int SERVER_SIZES = 3;
  private static final int SMALLEST_SERVER_GIBIBYTES = 40;
  private static final int GIBIBYTES_PER_SERVER_SIZE = 20;
  private static final double SLOWEST_TOKENS_PER_SECOND = 30;
  private static final double TOKENS_PER_SECOND_STEP = 25;
  private static final int SPEEDS = 4;
  private static final int CACHE_SHARE = 4;

  /** Slopebook: tail cold-start time weighs more. */
  public static final Deployment TT_NORTH =
      new Deployment(
          "tt-north",
          List.of("maracas", "cyp-head", "las-cuevas", "blanchi"),
          8,
          8,
          4,
          65,
          75,
          4.5,
          120,
          1.2);

  /** Chalet Kitchen Routing: idle accelerator time weighs more. */
  public static final Deployment KRKONOSE =
      new Deployment(
          "krkonose", List.of("spindl", "pec", "harrachov"), 6, 13, 3, 95, 115, 7, 10, 1.8);

  /** Returns the deployment of a name. */
  public static Optional<Deployment> findByName(String name) {
    return List.of(TT_NORTH, KRKONOSE).stream().filter(d -> d.name.equals(name)).findFirst();
  }

  /** Returns the deployment with other sizes; 0 keeps a size. */
  public Deployment resized(
      int otherNodes, int otherEngines, int otherModels, int otherAdapters, double otherWakes) {
    return new Deployment(
        name,
        dataCentres,
        otherNodes > 0 ? otherNodes : nodes,
        otherEngines > 0 ? otherEngines : engines,
        serviceServers,
        otherModels > 0 ? otherModels : models,
        otherAdapters >= 0 ? otherAdapters : adapters,
        loadsPerSecond,
        idleSecondsPerColdStartSecond,
        otherWakes >= 0 ? otherWakes : burstsPerSecond);
  }

  /** Returns the data centre of the item with an index. */
  public String dataCentre(int index) {
    return dataCentres.get(index % dataCentres.size());
  }

  /** Returns the memory of an engine, in bytes. */
  public long engineBytes(int index) {
    int gibibytes = SMALLEST_SERVER_GIBIBYTES + GIBIBYTES_PER_SERVER_SIZE * (index % SERVER_SIZES);
    return gibibytes * GIBIBYTE;
  }

  /** Returns the generation speed of one stream of an engine. */
  public double engineTokensPerSecond(int index) {
    return SLOWEST_TOKENS_PER_SECOND + TOKENS_PER_SECOND_STEP * (index % SPEEDS);
  }

  /** Returns the memory of a model, in bytes. */
  public long modelBytes(int index) {
    int gibibytes = SMALLEST_MODEL_GIBIBYTES + GIBIBYTES_PER_SIZE * (index % MODEL_SIZES);
    return gibibytes * GIBIBYTE;
  }

  /** Returns the memory of an adapter, in bytes. */
  public long adapterBytes() {
    return 128 * MEBIBYTE;
  }

  /** Returns the time of one load at full store speed, in milliseconds. */
  public long loadMillis() {
    return (long) (4_000 / loadsPerSecond) + 400;
  }

  /** Returns the most replicas of a model. */
  public int maxReplicas(int index) {
    return index % 3 == 0 ? 2 : 1;
  }

  /** Returns the names of the units, models first. */
  public List<String> unitNames() {
    List<String> units = new ArrayList<>();
    for (int i = 0; i < models; i++) {
      units.add("model-" + i);
    }
    for (int i = 0; i < adapters; i++) {
      units.add("adapter-" + i);
    }
    return units;
  }

  /** Returns the models whose weights lie on the disk of an engine. */
  public List<String> cachedModels(int engine, long seed) {
    Random random = new Random(seed + engine);
    return Arrays.asList(
        random
            .ints(models / CACHE_SHARE, 0, models)
            .distinct()
            .mapToObj(i -> "model-" + i)
            .toArray(String[]::new));
  }
}
