package io.nutmegseam.node.control;

/** Runs a task on the traffic thread after a delay. */
@FunctionalInterface
public interface TrafficTimer {
  /** Schedules a task. */
  void schedule(long delayMillis, Runnable task);
}
