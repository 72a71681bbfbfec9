package io.nutmegseam.standin.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Runs nodes in separate processes under faults drawn from a seed, and checks the guarantees to
 * callers and operators.
 */
final class SoakRun {
  private static final List<String> NODES = List.of("n1", "n2", "n3");
  private static final List<String> ENGINES = List.of("ea", "eb");
  private static final List<String> SERVICES = List.of("pay1", "pay2");
  private static final List<String> MODELS = List.of("m1", "m2", "m3");
  private static final int CALLER_COUNT = 5;
  private static final long STEP_MILLIS = 50;
  private static final long CONFIG_CHANGE_INTERVAL_MILLIS = 1_500;

  private final long seed;
  private final Duration duration;

  /**
   * The outcome of a run.
   *
   * @param answered number of requests with status 200
   * @param refused number of requests that were refused or failed
   * @param violations descriptions of violated guarantees
   * @param faults descriptions of the injected faults, in order
   */
  record Outcome(int answered, int refused, List<String> violations, List<String> faults) {}

  SoakRun(long seed, Duration duration) {
    this.seed = seed;
    this.duration = duration;
  }

  /** Runs the soak and returns its outcome. */
  Outcome run() {
    try (Cluster cluster = createCluster().start()) {
      Random random = new Random(seed);
      SoakFaultInjector faults = new SoakFaultInjector(cluster, NODES, ENGINES, SERVICES, random);
      SoakCallers callers = new SoakCallers(cluster, NODES, MODELS);
      SoakRevisionMonitor revisions = new SoakRevisionMonitor(cluster);
      List<Thread> threads = startCallers(callers);
      NODES.forEach(node -> threads.add(startThread(() -> revisions.run(node))));
      injectFaultsAndChanges(cluster, faults);
      faults.undoAll();
      callers.stop();
      List<String> violations = awaitRecovery(cluster);
      revisions.stop();
      threads.forEach(SoakRun::join);
      violations.addAll(revisions.violations());
      Map<String, Integer> runs = new HashMap<>();
      SERVICES.forEach(
          service ->
              cluster
                  .service(service)
                  .ledger()
                  .forEach((call, count) -> runs.merge(call, count, Integer::sum)));
      violations.addAll(callers.violations(runs));
      violations.addAll(cluster.invariants().violations());
      return new Outcome(
          callers.answered(), callers.refused(), violations, faults.injectedFaults());
    }
  }

  private static Cluster createCluster() {
    Cluster cluster =
        new Cluster()
            .dataCentre("dc-a")
            .dataCentre("dc-b")
            .engine("ea", "dc-a", 20, true)
            .engine("eb", "dc-b", 20, false)
            .service("pay1", "payments", "dc-a")
            .service("pay2", "payments", "dc-b");
    MODELS.forEach(model -> cluster.model(model, 8, 1));
    return cluster.node("n1", "dc-a").node("n2", "dc-a", "n1").node("n3", "dc-b", "n1");
  }

  private List<Thread> startCallers(SoakCallers callers) {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CALLER_COUNT; i++) {
      long callerSeed = seed * CALLER_COUNT + i;
      threads.add(startThread(() -> callers.run(callerSeed)));
    }
    return threads;
  }

  private static Thread startThread(Runnable task) {
    Thread thread = new Thread(task, "soak");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Injects faults and changes the configuration for the duration of the run. */
  private void injectFaultsAndChanges(Cluster cluster, SoakFaultInjector faults) {
    long startMillis = nowMillis();
    long faultMillis = startMillis;
    long configMillis = startMillis;
    int change = 0;
    while (nowMillis() - startMillis < duration.toMillis()) {
      faults.undoExpired(nowMillis());
      if (nowMillis() >= faultMillis) {
        faultMillis = nowMillis() + faults.injectNext(nowMillis());
      }
      if (nowMillis() >= configMillis) {
        configMillis = nowMillis() + CONFIG_CHANGE_INTERVAL_MILLIS;
        int number = ++change;
        startThread(() -> cluster.apply(nodeForChange(number), dataCentreRecord(number)));
      }
      pause(STEP_MILLIS);
    }
  }

  private static String nodeForChange(int number) {
    return NODES.get(number % NODES.size());
  }

  private static String dataCentreRecord(int number) {
    return "[{'schemaVersion':2,'kind':'DataCentre','name':'dc-x','region':'r%d'}]"
        .formatted(number);
  }

  /**
   * Waits until every node is ready, all nodes have the same configuration revision and every model
   * is served. Returns descriptions of the conditions that were not met in time.
   */
  private static List<String> awaitRecovery(Cluster cluster) {
    List<String> violations = new ArrayList<>();
    NODES.forEach(
        node ->
            expectWithinTimeout(violations, node + " is ready", () -> cluster.awaitReady(node)));
    expectWithinTimeout(
        violations,
        "all nodes have the same configuration revision",
        () ->
            Cluster.awaitThat(() -> NODES.stream().map(cluster::revision).distinct().count() == 1));
    for (String model : MODELS) {
      expectWithinTimeout(
          violations,
          model + " is served",
          () -> Cluster.awaitThat(() -> chat(cluster, model).status() == 200));
    }
    return violations;
  }

  private static ApiResponse chat(Cluster cluster, String model) {
    return cluster.chat("n1", model, "after the faults", 5, Map.of());
  }

  private static void expectWithinTimeout(
      List<String> violations, String condition, Runnable wait) {
    try {
      wait.run();
    } catch (RuntimeException e) {
      violations.add(
          "not met within " + Cluster.TIMEOUT + ": " + condition + " (" + e.getMessage() + ")");
    }
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
