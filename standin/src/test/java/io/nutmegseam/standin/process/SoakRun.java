package io.nutmegseam.standin.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Runs nodes in processes of their own under faults drawn from a seed, and checks promises. */
final class SoakRun {
  private static final List<String> NODES = List.of("n1", "n2", "n3");
  private static final List<String> ENGINES = List.of("ea", "eb");
  private static final List<String> SERVICES = List.of("pay1", "pay2");
  private static final List<String> MODELS = List.of("m1", "m2", "m3");
  private static final int CALLERS = 5;
  private static final long STEP_MILLIS = 50;
  private static final long CONFIG_MILLIS = 1_500;

  private final long seed;
  private final Duration length;

  /**
   * What a run has shown.
   *
   * @param answered requests that were answered
   * @param refused requests that were refused or failed
   * @param violations promises that were broken
   * @param faults what was done
   */
  record Outcome(int answered, int refused, List<String> violations, List<String> faults) {}

  SoakRun(long seed, Duration length) {
    this.seed = seed;
    this.length = length;
  }

  /** Runs the soak and returns what it has shown. */
  Outcome run() {
    try (Cluster cluster = cluster().start()) {
      Random random = new Random(seed);
      SoakFaultInjector faults = new SoakFaultInjector(cluster, NODES, ENGINES, SERVICES, random);
      SoakCallers callers = new SoakCallers(cluster, NODES, MODELS);
      SoakRevisionMonitor revisions = new SoakRevisionMonitor(cluster);
      List<Thread> threads = startCallers(callers);
      NODES.forEach(node -> threads.add(start(() -> revisions.run(node))));
      disturb(cluster, faults);
      faults.undoAll();
      callers.stop();
      List<String> violations = recover(cluster);
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

  private static Cluster cluster() {
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
    for (int i = 0; i < CALLERS; i++) {
      long callerSeed = seed * CALLERS + i;
      threads.add(start(() -> callers.run(callerSeed)));
    }
    return threads;
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task, "soak");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Injects faults and changes the configuration. */
  private void disturb(Cluster cluster, SoakFaultInjector faults) {
    long startMillis = nowMillis();
    long faultMillis = startMillis;
    long configMillis = startMillis;
    int change = 0;
    while (nowMillis() - startMillis < length.toMillis()) {
      faults.undoExpired(nowMillis());
      if (nowMillis() >= faultMillis) {
        faultMillis = nowMillis() + faults.injectNext(nowMillis());
      }
      if (nowMillis() >= configMillis) {
        configMillis = nowMillis() + CONFIG_MILLIS;
        int number = ++change;
        start(() -> cluster.apply(anyNode(number), dataCentre(number)));
      }
      pause(STEP_MILLIS);
    }
  }

  private static String anyNode(int number) {
    return NODES.get(number % NODES.size());
  }

  private static String dataCentre(int number) {
    return "[{'schemaVersion':2,'kind':'DataCentre','name':'dc-x','region':'r%d'}]"
        .formatted(number);
  }

  /** Waits until all is served again; returns what is not. */
  private static List<String> recover(Cluster cluster) {
    List<String> violations = new ArrayList<>();
    NODES.forEach(node -> expect(violations, node + " is ready", () -> cluster.awaitReady(node)));
    expect(
        violations,
        "all nodes have one configuration",
        () ->
            Cluster.awaitThat(() -> NODES.stream().map(cluster::revision).distinct().count() == 1));
    for (String model : MODELS) {
      expect(
          violations,
          model + " is served",
          () -> Cluster.awaitThat(() -> chat(cluster, model).status() == 200));
    }
    return violations;
  }

  private static ApiResponse chat(Cluster cluster, String model) {
    return cluster.chat("n1", model, "after the faults", 5, Map.of());
  }

  private static void expect(List<String> violations, String what, Runnable check) {
    try {
      check.run();
    } catch (RuntimeException e) {
      violations.add("not within " + Cluster.TIMEOUT + ": " + what + " (" + e.getMessage() + ")");
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
