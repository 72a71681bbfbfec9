package io.nutmegseam.node.control;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import java.lang.management.ManagementFactory;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/**
 * The one thread of the control state, and the threads that wait for other systems on its behalf.
 */
public final class ControlThread implements AutoCloseable {
  private final EventSink events;
  private final AtomicLong threadId = new AtomicLong(-1);
  private final ScheduledExecutorService control;
  private final ExecutorService io;

  /**
   * Creates the threads.
   *
   * @param events receives faults of control tasks
   */
  public ControlThread(EventSink events) {
    this.events = events;
    this.control = Executors.newSingleThreadScheduledExecutor(controlFactory());
    this.io = Executors.newCachedThreadPool(daemonFactory("control-io"));
  }

  /** Runs a task on the control thread. */
  public void execute(Runnable task) {
    control.execute(() -> guarded(task));
  }

  /**
   * Runs a task on the control thread again and again.
   *
   * @param periodMillis time between runs, in milliseconds
   * @param task the task
   */
  public void schedulePeriodically(long periodMillis, Runnable task) {
    control.scheduleWithFixedDelay(() -> guarded(task), 0, periodMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a task on the control thread once.
   *
   * @param delayMillis time before the run, in milliseconds
   * @param task the task
   */
  public void scheduleOnce(long delayMillis, Runnable task) {
    control.schedule(() -> guarded(task), delayMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Makes a blocking call away from the control thread and hands its outcome to the control thread.
   *
   * @param call the blocking call
   * @param then takes the result, or null and the exception
   */
  public <T> void callAsync(Callable<T> call, BiConsumer<T, Exception> then) {
    io.execute(
        () -> {
          try {
            T result = call.call();
            execute(() -> then.accept(result, null));
          } catch (Exception e) {
            execute(() -> then.accept(null, e));
          }
        });
  }

  /** Returns the processor time that the control thread has used, in milliseconds. */
  public long cpuMillis() {
    long id = threadId.get();
    if (id < 0) {
      return 0;
    }
    long nanos = ManagementFactory.getThreadMXBean().getThreadCpuTime(id);
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos));
  }

  @Override
  public void close() {
    control.shutdownNow();
    io.shutdownNow();
  }

  private void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      events.record(EventKind.INTERNAL_FAULT, "control", stackTop(e));
    }
  }

  private static String stackTop(RuntimeException e) {
    StackTraceElement[] stack = e.getStackTrace();
    return stack.length == 0 ? e.toString() : e + " at " + stack[0];
  }

  private ThreadFactory controlFactory() {
    return task -> {
      Thread thread = daemonFactory("control").newThread(task);
      threadId.set(thread.getId());
      return thread;
    };
  }

  private static ThreadFactory daemonFactory(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }
}
