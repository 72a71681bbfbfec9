package io.nutmegseam.standin.process;

import java.util.ArrayList;
import java.util.List;

/** Watches that the configuration of a process never goes back. Safe for several threads. */
final class SoakRevisionMonitor {
  private static final long SAMPLE_MILLIS = 200;

  private final Cluster cluster;
  private final List<String> violations = new ArrayList<>();
  private volatile boolean running = true;

  SoakRevisionMonitor(Cluster cluster) {
    this.cluster = cluster;
  }

  void stop() {
    running = false;
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  /** Watches one node until the watch is stopped. */
  void run(String node) {
    long process = 0;
    long highest = 0;
    while (running) {
      long before = cluster.node(node).processId();
      ApiResponse reply = cluster.get(cluster.node(node).operatorUrl() + "/v1/revision");
      boolean sameProcess = before == cluster.node(node).processId();
      if (sameProcess && reply.status() == 200) {
        long revision = reply.json().path("revision").asLong();
        highest = before == process ? highest : 0;
        process = before;
        if (revision < highest) {
          violate(node + " went back from revision " + highest + " to " + revision);
        }
        highest = Math.max(highest, revision);
      }
      pause();
    }
  }

  private synchronized void violate(String what) {
    violations.add(what);
  }

  private static void pause() {
    try {
      Thread.sleep(SAMPLE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
