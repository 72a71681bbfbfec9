package io.nutmegseam.standin.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Makes a seeded open-loop load: bursts that wake units at several nodes, rushes of many units,
 * follow-ups and payments.
 */
public final class WorkloadGenerator {
  private static final int BURST_MILLIS = 150;
  private static final int FOLLOW_UPS = 3;
  private static final int FOLLOW_UP_MILLIS = 12_000;
  private static final double BATCH_SHARE = 0.15;
  private static final double PAYMENTS_PER_SECOND = 2;
  private static final double POPULARITY_EXPONENT = 0.35;
  private static final int MIN_TOKENS = 16;
  private static final int MORE_TOKENS = 48;
  private static final int BATCH_FACTOR = 4;
  private static final int RUSH_INTERVAL_MILLIS = 20_000;
  private static final int RUSH_MILLIS = 1_000;
  private static final int RUSH_SHARE = 8;
  private static final int SPREAD = 11;
  private static final int MILLIS_PER_SECOND = 1_000;

  private final Deployment deployment;
  private final Random random;
  private final List<Arrival> arrivals = new ArrayList<>();

  /**
   * Creates a load.
   *
   * @param deployment the deployment that gets it
   * @param seed seed of all choices
   */
  public WorkloadGenerator(Deployment deployment, long seed) {
    this.deployment = deployment;
    this.random = new Random(seed);
  }

  /**
   * Returns the requests in order of their intended start.
   *
   * @param seconds length of the run
   */
  public List<Arrival> generate(int seconds) {
    long endMillis = (long) seconds * MILLIS_PER_SECOND;
    for (double at = next(deployment.burstsPerSecond());
        at < endMillis;
        at += next(deployment.burstsPerSecond())) {
      wake((long) at, endMillis);
    }
    for (long at = RUSH_INTERVAL_MILLIS / 2; at < endMillis; at += RUSH_INTERVAL_MILLIS) {
      rush(at, endMillis);
    }
    for (double at = next(PAYMENTS_PER_SECOND); at < endMillis; at += next(PAYMENTS_PER_SECOND)) {
      arrivals.add(new Arrival((long) at, node(), "", "pay-" + arrivals.size(), 0, true));
    }
    arrivals.sort(Comparator.comparingLong(Arrival::atMillis));
    return arrivals;
  }

  /** Many units wake at nearly the same time, as at the beginning of a lesson or a meal. */
  private void rush(long atMillis, long endMillis) {
    for (int i = 0; i < deployment.unitNames().size() / RUSH_SHARE; i++) {
      wake(atMillis + random.nextInt(RUSH_MILLIS), endMillis);
    }
  }

  /** A burst of first requests at several nodes at once, then follow-ups. */
  private void wake(long atMillis, long endMillis) {
    String unit = unit();
    boolean interactive = random.nextDouble() >= BATCH_SHARE;
    int burst = 1 + random.nextInt(Math.min(4, deployment.nodes()));
    int first = node();
    for (int i = 0; i < burst; i++) {
      int node = (first + i) % deployment.nodes();
      add(atMillis + random.nextInt(BURST_MILLIS), node, unit, interactive);
    }
    for (int i = 0; i < random.nextInt(FOLLOW_UPS + 1); i++) {
      long later = atMillis + BURST_MILLIS + random.nextInt(FOLLOW_UP_MILLIS);
      if (later < endMillis) {
        add(later, node(), unit, interactive);
      }
    }
  }

  private void add(long atMillis, int node, String unit, boolean interactive) {
    int tokens = MIN_TOKENS + random.nextInt(MORE_TOKENS);
    arrivals.add(
        new Arrival(
            atMillis,
            node,
            unit,
            "prompt " + arrivals.size(),
            interactive ? tokens : tokens * BATCH_FACTOR,
            interactive));
  }

  /** Picks a unit; few are popular, most are idle most of the time. */
  private String unit() {
    List<String> units = deployment.unitNames();
    double u = random.nextDouble();
    int index = (int) (units.size() * Math.pow(u, 1 / (1 - POPULARITY_EXPONENT)));
    return units.get(Math.min(index, units.size() - 1) * SPREAD % units.size());
  }

  private int node() {
    return random.nextInt(deployment.nodes());
  }

  private double next(double perSecond) {
    return -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / Math.max(perSecond, 1e-9);
  }
}
