package io.nutmegseam.node.gateway;

import io.nutmegseam.node.control.TrafficTimer;
import java.time.InstantSource;
import java.util.concurrent.Executor;

/**
 * Tells whether the traffic thread runs late, so that its connections have received more than it
 * has read: a caller whose request it reads now may have given up. Confined to the traffic thread.
 */
final class TrafficLag {
  private static final long INTERVAL_MILLIS = 100;

  /** Half of the time within which a caller's departure must end the work on its request. */
  private static final long MAX_DELAY_MILLIS = 250;

  /** Shortest delay of a task that does not run before the next read. */
  private static final long READ_INTERVAL_MILLIS = 1;

  private final InstantSource clock;
  private final InstantSource wallClock;
  private final Executor thread;
  private final TrafficTimer timer;
  private boolean started;
  private long dueMillis;
  private long wallOffsetMillis;
  private long lastDelayMillis;

  /**
   * Creates a component that measures nothing until it is started.
   *
   * @param clock monotonic clock, which may stop while the VM is suspended
   * @param wallClock time of day
   * @param thread the traffic thread
   * @param timer runs delayed tasks on the traffic thread
   */
  TrafficLag(InstantSource clock, InstantSource wallClock, Executor thread, TrafficTimer timer) {
    this.clock = clock;
    this.wallClock = wallClock;
    this.thread = thread;
    this.timer = timer;
  }

  /** Starts to measure the delay of tasks, on the traffic thread. */
  void start() {
    started = true;
    schedule();
  }

  /**
   * Runs a task at once, or after the next read of all connections if the thread is late. The
   * thread then knows which callers have closed their connections.
   */
  void runAfterRead(Runnable task) {
    if (isLate()) {
      // The thread reads before it runs a task that another one has scheduled.
      thread.execute(() -> timer.schedule(READ_INTERVAL_MILLIS, task));
    } else {
      task.run();
    }
  }

  /** Returns whether the thread was late recently, or has been busy for long. */
  boolean isLate() {
    return started && Math.max(lastDelayMillis, delayMillis()) > MAX_DELAY_MILLIS;
  }

  /** Returns the delay of the present task; a suspension shows as a drift between the clocks. */
  private long delayMillis() {
    long driftMillis = Math.abs(wallClock.millis() - clock.millis() - wallOffsetMillis);
    return Math.max(clock.millis() - dueMillis, driftMillis);
  }

  private void schedule() {
    dueMillis = clock.millis() + INTERVAL_MILLIS;
    wallOffsetMillis = wallClock.millis() - clock.millis();
    timer.schedule(INTERVAL_MILLIS, this::measure);
  }

  private void measure() {
    lastDelayMillis = delayMillis();
    schedule();
  }
}
