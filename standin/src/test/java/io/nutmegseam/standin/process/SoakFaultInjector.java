package io.nutmegseam.standin.process;

import io.nutmegseam.standin.fault.FaultBook;
import io.nutmegseam.standin.fault.FaultMode;
import io.nutmegseam.standin.fault.FaultRule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Draws faults from a seed and undoes them in time; faults overlap and come in series. */
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
  private final List<Undo> undos = new ArrayList<>();
  private final Set<String> downNodes = ConcurrentHashMap.newKeySet();
  private final List<Thread> restarts = new ArrayList<>();
  private final Map<String, List<FaultRule>> rulesByTarget = new HashMap<>();
  private final List<String> journal = new ArrayList<>();

  private record Undo(long atMillis, Runnable action) {}

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

  /** Returns what was done, in order. */
  List<String> injectedFaults() {
    return List.copyOf(journal);
  }

  /** Injects the next fault; returns the pause before the one after it, in milliseconds. */
  long injectNext(long nowMillis) {
    undoExpired(nowMillis);
    long untilMillis = nowMillis + MIN_FAULT_MILLIS + random.nextInt(MAX_FAULT_MILLIS);
    switch (random.nextInt(4)) {
      case 0 -> processFault(untilMillis);
      case 1 -> linkFault(cluster.platformProxy(any(nodes)), "store", untilMillis);
      case 2 -> linkFault(cluster.peerProxy(any(nodes)), "peers", untilMillis);
      default -> standinFault(untilMillis);
    }
    return random.nextInt(MAX_PAUSE_MILLIS);
  }

  /** Undoes the faults that have lasted long enough. */
  void undoExpired(long nowMillis) {
    undos.stream().filter(undo -> undo.atMillis() <= nowMillis).toList().forEach(this::undo);
  }

  /** Undoes all faults, and waits until stopped nodes have been started again. */
  void undoAll() {
    List.copyOf(undos).forEach(this::undo);
    try {
      for (Thread restart : restarts) {
        restart.join();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void undo(Undo undo) {
    undos.remove(undo);
    undo.action().run();
  }

  /** One node at least stays as it is, so that callers have somewhere to go. */
  private void processFault(long untilMillis) {
    String node = any(nodes);
    if (downNodes.contains(node) || downNodes.size() + 1 >= nodes.size()) {
      return;
    }
    downNodes.add(node);
    NodeProcess process = cluster.node(node);
    int kind = random.nextInt(3);
    journal.add((kind == 0 ? "kill " : kind == 1 ? "terminate " : "suspend ") + node);
    switch (kind) {
      case 0 -> process.kill();
      case 1 -> process.terminate();
      default -> process.suspend();
    }
    undos.add(
        new Undo(
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

  /** A node that was asked to stop ends when its requests do; other faults do not wait for it. */
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

  private void linkFault(TcpFaultProxy link, String to, long untilMillis) {
    int kind = random.nextInt(5);
    journal.add("link to " + to + ", fault " + kind);
    switch (kind) {
      case 0 -> link.disconnect();
      case 1 -> link.resetConnections();
      case 2 -> link.stall(true, random.nextBoolean());
      case 3 -> link.stall(false, true);
      default -> link.setDelayMillis((long) (random.nextDouble() * MAX_DELAY_MILLIS));
    }
    undos.add(new Undo(untilMillis, link::restore));
  }

  private void standinFault(long untilMillis) {
    switch (random.nextInt(3)) {
      case 0 ->
          rule(
              "store",
              cluster.platform().faults(),
              List.of(FaultMode.SLOW, FaultMode.LATE, FaultMode.REFUSE, FaultMode.LOSE_ANSWER),
              untilMillis);
      case 1 -> {
        String engine = any(engines);
        rule(
            engine,
            cluster.engine(engine).faults(),
            List.of(FaultMode.SLOW, FaultMode.REFUSE, FaultMode.DROP, FaultMode.CUT),
            untilMillis);
      }
      default -> {
        String service = any(services);
        rule(
            service,
            cluster.service(service).faults(),
            List.of(FaultMode.LATE, FaultMode.LOSE_ANSWER, FaultMode.DROP, FaultMode.CUT),
            untilMillis);
      }
    }
  }

  private void rule(String target, FaultBook book, List<FaultMode> modes, long untilMillis) {
    FaultMode mode = modes.get(random.nextInt(modes.size()));
    FaultRule rule =
        new FaultRule("*", mode, 1 + random.nextInt(8), random.nextInt(MAX_FAULT_MILLIS), "");
    journal.add(target + " " + rule);
    List<FaultRule> rules = rulesByTarget.computeIfAbsent(target, t -> new ArrayList<>());
    rules.add(rule);
    book.set(rules);
    undos.add(
        new Undo(
            untilMillis,
            () -> {
              rules.remove(rule);
              book.set(rules);
            }));
  }

  private <T> T any(List<T> list) {
    return list.get(random.nextInt(list.size()));
  }
}
