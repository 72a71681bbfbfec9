package io.nutmegseam.node.gateway;

/** Runs a task on the traffic thread after a delay. */
@FunctionalInterface
interface TrafficTimer {
  /** Schedules a task. */
  void schedule(long delayMillis, Runnable task);
}
