package io.nutmegseam.standin.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Generates an open-loop workload from a seed: bursts of requests for one model or adapter at
 * several nodes with follow-up requests, periodic surges of many bursts, and payments.
 */
public final class WorkloadGenerator {
  private static final int BURST_SPAN_MILLIS = 150;
  private static final int MAX_FOLLOW_UPS = 3;
  private static final int FOLLOW_UP_SPAN_MILLIS = 12_000;
  private static final double BATCH_SHARE = 0.15;
  private static final double PAYMENTS_PER_SECOND = 2;
  private static final double POPULARITY_EXPONENT = 0.35;
  private static final int MIN_TOKENS = 16;
  private static final int TOKENS_RANGE = 48;
  private static final int BATCH_TOKENS_FACTOR = 4;
  private static final int SURGE_INTERVAL_MILLIS = 20_000;
  private static final int SURGE_SPAN_MILLIS = 1_000;
  private static final int SURGE_UNITS_DIVISOR = 8;
  private static final int UNIT_STRIDE = 11;
  private static final int MILLIS_PER_SECOND = 1_000;

  private final Deployment deployment;
  private final Random random;
  private final List<Arrival> arrivals = new ArrayList<>();

  /**
   * Creates a generator.
   *
   * @param deployment deployment that the workload is for
   * @param seed seed of all random choices
   */
  public WorkloadGenerator(Deployment deployment, long seed) {
    this.deployment = deployment;
    this.random = new Random(seed);
  }

  /**
   * Returns the requests in order of their scheduled send times. Must be called only once.
   *
   * @param seconds length of the workload, in seconds
   */
  public List<Arrival> generate(int seconds) {
    long endMillis = (long) seconds * MILLIS_PER_SECOND;
    for (double atMillis = nextIntervalMillis(deployment.burstsPerSecond());
        atMillis < endMillis;
        atMillis += nextIntervalMillis(deployment.burstsPerSecond())) {
      addBurst((long) atMillis, endMillis);
    }
    for (long atMillis = SURGE_INTERVAL_MILLIS / 2;
        atMillis < endMillis;
        atMillis += SURGE_INTERVAL_MILLIS) {
      addSurge(atMillis, endMillis);
    }
    for (double atMillis = nextIntervalMillis(PAYMENTS_PER_SECOND);
        atMillis < endMillis;
        atMillis += nextIntervalMillis(PAYMENTS_PER_SECOND)) {
      arrivals.add(new Arrival((long) atMillis, pickNode(), "", "pay-" + arrivals.size(), 0, true));
    }
    arrivals.sort(Comparator.comparingLong(Arrival::atMillis));
    return arrivals;
  }

  /**
   * Adds bursts for many units at nearly the same time, as at the beginning of a lesson or a meal.
   */
  private void addSurge(long atMillis, long endMillis) {
    for (int i = 0; i < deployment.unitNames().size() / SURGE_UNITS_DIVISOR; i++) {
      addBurst(atMillis + random.nextInt(SURGE_SPAN_MILLIS), endMillis);
    }
  }

  /**
   * Adds a burst of requests for one unit at several nodes at nearly the same time, and follow-ups.
   */
  private void addBurst(long atMillis, long endMillis) {
    String unit = pickUnit();
    boolean interactive = random.nextDouble() >= BATCH_SHARE;
    int burstSize = 1 + random.nextInt(Math.min(4, deployment.nodes()));
    int firstNode = pickNode();
    for (int i = 0; i < burstSize; i++) {
      int node = (firstNode + i) % deployment.nodes();
      addRequest(atMillis + random.nextInt(BURST_SPAN_MILLIS), node, unit, interactive);
    }
    for (int i = 0; i < random.nextInt(MAX_FOLLOW_UPS + 1); i++) {
      long followUpMillis = atMillis + BURST_SPAN_MILLIS + random.nextInt(FOLLOW_UP_SPAN_MILLIS);
      if (followUpMillis < endMillis) {
        addRequest(followUpMillis, pickNode(), unit, interactive);
      }
    }
  }

  private void addRequest(long atMillis, int node, String unit, boolean interactive) {
    int tokens = MIN_TOKENS + random.nextInt(TOKENS_RANGE);
    arrivals.add(
        new Arrival(
            atMillis,
            node,
            unit,
            "prompt " + arrivals.size(),
            interactive ? tokens : tokens * BATCH_TOKENS_FACTOR,
            interactive));
  }

  /** Picks a unit by a power law: few units are popular, and most are idle most of the time. */
  private String pickUnit() {
    List<String> units = deployment.unitNames();
    double uniform = random.nextDouble();
    int index = (int) (units.size() * Math.pow(uniform, 1 / (1 - POPULARITY_EXPONENT)));
    return units.get(Math.min(index, units.size() - 1) * UNIT_STRIDE % units.size());
  }

  private int pickNode() {
    return random.nextInt(deployment.nodes());
  }

  private double nextIntervalMillis(double perSecond) {
    return -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / Math.max(perSecond, 1e-9);
  }
}
