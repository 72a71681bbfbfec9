package io.nutmegseam.standin.process;

import io.nutmegseam.standin.fault.FaultInjector;
import io.nutmegseam.standin.fault.FaultMode;
import io.nutmegseam.standin.fault.FaultRule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Draws faults from a seeded random generator, injects them and undoes each after a random time.
 * Faults may overlap and may follow one another without a pause.
 */
final class SoakFaultInjector {
  private static final int MAX_PAUSE_MILLIS = 900;
  private static final int MIN_FAULT_MILLIS = 200;
  private static final int MAX_FAULT_MILLIS = 2_500;
  private static final long MAX_DELAY_MILLIS = 300;

  private final Cluster cluster;
  private final List<String> nodes;
  private final List<String> engines;
  private final List<String> services;
  private final Random random;
  private final List<PendingUndo> pendingUndos = new ArrayList<>();
  private final Set<String> downNodes = ConcurrentHashMap.newKeySet();
  private final List<Thread> restarts = new ArrayList<>();
  private final Map<String, List<FaultRule>> rulesByTarget = new HashMap<>();
  private final List<String> descriptions = new ArrayList<>();

  private record PendingUndo(long atMillis, Runnable action) {}

  SoakFaultInjector(
      Cluster cluster,
      List<String> nodes,
      List<String> engines,
      List<String> services,
      Random random) {
    this.cluster = cluster;
    this.nodes = nodes;
    this.engines = engines;
    this.services = services;
    this.random = random;
  }

  /** Returns descriptions of the injected faults, in order. */
  List<String> injectedFaults() {
    return List.copyOf(descriptions);
  }

  /**
   * Undoes expired faults, injects the next one and returns the delay until the following one, in
   * milliseconds.
   */
  long injectNext(long nowMillis) {
    undoExpired(nowMillis);
    long untilMillis = nowMillis + MIN_FAULT_MILLIS + random.nextInt(MAX_FAULT_MILLIS);
    switch (random.nextInt(4)) {
      case 0 -> injectProcessFault(untilMillis);
      case 1 -> injectProxyFault(cluster.platformProxy(anyOf(nodes)), "store", untilMillis);
      case 2 -> injectProxyFault(cluster.peerProxy(anyOf(nodes)), "peers", untilMillis);
      default -> injectStandinFault(untilMillis);
    }
    return random.nextInt(MAX_PAUSE_MILLIS);
  }

  /** Undoes the faults whose time has passed. */
  void undoExpired(long nowMillis) {
    pendingUndos.stream().filter(undo -> undo.atMillis() <= nowMillis).toList().forEach(this::undo);
  }

  /**
   * Undoes all faults and waits until the nodes that were killed or terminated have been started.
   */
  void undoAll() {
    List.copyOf(pendingUndos).forEach(this::undo);
    try {
      for (Thread restart : restarts) {
        restart.join();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void undo(PendingUndo undo) {
    pendingUndos.remove(undo);
    undo.action().run();
  }

  /**
   * Kills, terminates or suspends a node. Does nothing if the node is already down, or if no other
   * node would stay up for the callers.
   */
  private void injectProcessFault(long untilMillis) {
    String node = anyOf(nodes);
    if (downNodes.contains(node) || downNodes.size() + 1 >= nodes.size()) {
      return;
    }
    downNodes.add(node);
    NodeProcess process = cluster.node(node);
    int kind = random.nextInt(3);
    descriptions.add((kind == 0 ? "kill " : kind == 1 ? "terminate " : "suspend ") + node);
    switch (kind) {
      case 0 -> process.kill();
      case 1 -> process.terminate();
      default -> process.suspend();
    }
    pendingUndos.add(
        new PendingUndo(
            untilMillis,
            () -> {
              if (kind == 2) {
                process.resume();
                downNodes.remove(node);
              } else {
                restart(node, process);
              }
            }));
  }

  /**
   * Starts a node after its process has exited. A terminated node first completes its requests, so
   * a separate thread waits for its exit, and the other faults are still undone in time.
   */
  private void restart(String node, NodeProcess process) {
    Thread thread =
        new Thread(
            () -> {
              process.awaitExit();
              process.start();
              downNodes.remove(node);
            },
            "restart " + node);
    thread.setDaemon(true);
    thread.start();
    restarts.add(thread);
  }

  private void injectProxyFault(TcpFaultProxy proxy, String target, long untilMillis) {
    int kind = random.nextInt(5);
    descriptions.add("proxy to " + target + ", fault " + kind);
    switch (kind) {
      case 0 -> proxy.disconnect();
      case 1 -> proxy.resetConnections();
      case 2 -> proxy.stall(true, random.nextBoolean());
      case 3 -> proxy.stall(false, true);
      default -> proxy.setDelayMillis((long) (random.nextDouble() * MAX_DELAY_MILLIS));
    }
    pendingUndos.add(new PendingUndo(untilMillis, proxy::restore));
  }

  private void injectStandinFault(long untilMillis) {
    switch (random.nextInt(3)) {
      case 0 ->
          addRule(
              "store",
              cluster.platform().faults(),
              List.of(FaultMode.SLOW, FaultMode.LATE, FaultMode.REFUSE, FaultMode.LOSE_ANSWER),
              untilMillis);
      case 1 -> {
        String engine = anyOf(engines);
        addRule(
            engine,
            cluster.engine(engine).faults(),
            List.of(FaultMode.SLOW, FaultMode.REFUSE, FaultMode.DROP, FaultMode.CUT),
            untilMillis);
      }
      default -> {
        String service = anyOf(services);
        addRule(
            service,
            cluster.service(service).faults(),
            List.of(FaultMode.LATE, FaultMode.LOSE_ANSWER, FaultMode.DROP, FaultMode.CUT),
            untilMillis);
      }
    }
  }

  private void addRule(
      String target, FaultInjector targetFaults, List<FaultMode> modes, long untilMillis) {
    FaultMode mode = modes.get(random.nextInt(modes.size()));
    FaultRule rule =
        new FaultRule("*", mode, 1 + random.nextInt(8), random.nextInt(MAX_FAULT_MILLIS), "");
    descriptions.add(target + " " + rule);
    List<FaultRule> rules = rulesByTarget.computeIfAbsent(target, t -> new ArrayList<>());
    rules.add(rule);
    targetFaults.setRules(rules);
    pendingUndos.add(
        new PendingUndo(
            untilMillis,
            () -> {
              rules.remove(rule);
              targetFaults.setRules(rules);
            }));
  }

  private <T> T anyOf(List<T> list) {
    return list.get(random.nextInt(list.size()));
  }
}
