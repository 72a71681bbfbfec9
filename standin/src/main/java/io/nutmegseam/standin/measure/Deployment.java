package io.nutmegseam.standin.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * The size and the policy parameters of a measured deployment.
 *
 * @param name name that selects the deployment on the command line
 * @param dataCentres names of the data centres
 * @param nodes number of nodes, which are assigned to the data centres in turn
 * @param engines number of model engines
 * @param serviceServers number of backend servers of the plain service
 * @param models number of models
 * @param adapters number of adapters
 * @param loadsPerSecond rate of loads that the weight store sustains
 * @param idleSecondsPerColdStartSecond seconds of idle accelerator time that the organisation
 *     accepts to save one second of cold start
 * @param burstsPerSecond mean rate of request bursts, each to one model or adapter
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
  private static final int MODEL_SIZE_COUNT = 5;
  private static final int MIN_MODEL_GIBIBYTES = 6;
  private static final int MODEL_SIZE_STEP_GIBIBYTES = 3;
  private static final int SERVER_SIZE_COUNT = 3;
  private static final int MIN_SERVER_GIBIBYTES = 40;
  private static final int SERVER_SIZE_STEP_GIBIBYTES = 20;
  private static final double MIN_TOKENS_PER_SECOND = 30;
  private static final double TOKENS_PER_SECOND_STEP = 25;
  private static final int SPEED_COUNT = 4;
  private static final int CACHED_MODELS_DIVISOR = 4;

  /**
   * Deployment of Slopebook: tail latency of cold starts weighs more, compared with idle
   * accelerator time, than in {@link #KRKONOSE}.
   */
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

  /**
   * Deployment of Chalet Kitchen Routing: idle accelerator time weighs more, compared with cold
   * starts, than in {@link #TT_NORTH}.
   */
  public static final Deployment KRKONOSE =
      new Deployment(
          "krkonose", List.of("spindl", "pec", "harrachov"), 6, 13, 3, 95, 115, 7, 10, 1.8);

  /** Returns the predefined deployment with a name, or empty if there is none. */
  public static Optional<Deployment> findByName(String name) {
    return List.of(TT_NORTH, KRKONOSE).stream().filter(d -> d.name.equals(name)).findFirst();
  }

  /**
   * Returns a copy of this deployment with other sizes. A value of 0 or less keeps the number of
   * nodes, engines or models; a negative value keeps the number of adapters or the burst rate.
   */
  public Deployment resized(
      int newNodes, int newEngines, int newModels, int newAdapters, double newBurstsPerSecond) {
    return new Deployment(
        name,
        dataCentres,
        newNodes > 0 ? newNodes : nodes,
        newEngines > 0 ? newEngines : engines,
        serviceServers,
        newModels > 0 ? newModels : models,
        newAdapters >= 0 ? newAdapters : adapters,
        loadsPerSecond,
        idleSecondsPerColdStartSecond,
        newBurstsPerSecond >= 0 ? newBurstsPerSecond : burstsPerSecond);
  }

  /** Returns the data centre of the node or backend server with an index. */
  public String dataCentre(int index) {
    return dataCentres.get(index % dataCentres.size());
  }

  /** Returns the memory of the engine with an index, in bytes. */
  public long engineBytes(int index) {
    int gibibytes = MIN_SERVER_GIBIBYTES + SERVER_SIZE_STEP_GIBIBYTES * (index % SERVER_SIZE_COUNT);
    return gibibytes * GIBIBYTE;
  }

  /** Returns the generation speed of the engine with an index, in tokens per second and stream. */
  public double engineTokensPerSecond(int index) {
    return MIN_TOKENS_PER_SECOND + TOKENS_PER_SECOND_STEP * (index % SPEED_COUNT);
  }

  /** Returns the memory that the model with an index needs, in bytes. */
  public long modelBytes(int index) {
    int gibibytes = MIN_MODEL_GIBIBYTES + MODEL_SIZE_STEP_GIBIBYTES * (index % MODEL_SIZE_COUNT);
    return gibibytes * GIBIBYTE;
  }

  /** Returns the memory that every adapter needs, in bytes. */
  public long adapterBytes() {
    return 128 * MEBIBYTE;
  }

  /** Returns the time of one load at the full rate of the weight store, in milliseconds. */
  public long loadMillis() {
    return (long) (4_000 / loadsPerSecond) + 400;
  }

  /** Returns the largest number of replicas of the model with an index. */
  public int maxReplicas(int index) {
    return index % 3 == 0 ? 2 : 1;
  }

  /** Returns the names of all models, followed by the names of all adapters. */
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

  /**
   * Returns the names of the models whose weights are in the disk cache of an engine.
   *
   * @param engine index of the engine
   * @param seed seed of the random choice
   */
  public List<String> cachedModels(int engine, long seed) {
    Random random = new Random(seed + engine);
    return Arrays.asList(
        random
            .ints(models / CACHED_MODELS_DIVISOR, 0, models)
            .distinct()
            .mapToObj(i -> "model-" + i)
            .toArray(String[]::new));
  }
}
