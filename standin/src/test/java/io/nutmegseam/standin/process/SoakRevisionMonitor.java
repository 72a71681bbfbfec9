package io.nutmegseam.standin.process;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks that the configuration revision of a node process never decreases. Safe for use by several
 * threads.
 */
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

  /**
   * Polls one node until {@link #stop()}. A new process of the node may begin at a lower revision.
   */
  void run(String node) {
    long lastProcessId = 0;
    long highest = 0;
    while (running) {
      long processId = cluster.node(node).processId();
      ApiResponse response = cluster.get(cluster.node(node).operatorUrl() + "/v1/revision");
      boolean sameProcess = processId == cluster.node(node).processId();
      if (sameProcess && response.status() == 200) {
        long revision = response.json().path("revision").asLong();
        highest = processId == lastProcessId ? highest : 0;
        lastProcessId = processId;
        if (revision < highest) {
          addViolation(
              node + " decreased its configuration revision from " + highest + " to " + revision);
        }
        highest = Math.max(highest, revision);
      }
      pause();
    }
  }

  private synchronized void addViolation(String description) {
    violations.add(description);
  }

  private static void pause() {
    try {
      Thread.sleep(SAMPLE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
