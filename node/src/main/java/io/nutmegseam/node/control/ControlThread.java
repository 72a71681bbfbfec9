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
 * Runs all control tasks on a single thread. Blocking calls to other systems run on I/O threads,
 * which pass the results back to the control thread.
 */
public final class ControlThread implements AutoCloseable {
  private final EventSink events;
  private final AtomicLong controlThreadId = new AtomicLong(-1);
  private final ScheduledExecutorService controlExecutor;
  private final ExecutorService ioExecutor;

  /**
   * Creates the executors; their threads are daemons.
   *
   * @param events receives the exceptions that control tasks throw
   */
  public ControlThread(EventSink events) {
    this.events = events;
    this.controlExecutor = Executors.newSingleThreadScheduledExecutor(controlThreadFactory());
    this.ioExecutor = Executors.newCachedThreadPool(daemonThreadFactory("control-io"));
  }

  /** Runs a task on the control thread. */
  public void execute(Runnable task) {
    controlExecutor.execute(() -> runGuarded(task));
  }

  /**
   * Runs a task on the control thread at once, then repeatedly with a fixed delay between runs.
   *
   * @param delayMillis time from the end of a run to the start of the next, in milliseconds
   * @param task the task
   */
  public void schedulePeriodically(long delayMillis, Runnable task) {
    controlExecutor.scheduleWithFixedDelay(
        () -> runGuarded(task), 0, delayMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a task on the control thread once, after a delay.
   *
   * @param delayMillis time until the run, in milliseconds
   * @param task the task
   */
  public void scheduleOnce(long delayMillis, Runnable task) {
    controlExecutor.schedule(() -> runGuarded(task), delayMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Makes a blocking call on an I/O thread and passes its outcome to a callback on the control
   * thread.
   *
   * @param call the blocking call
   * @param callback the callback; receives the result and null, or null and the exception
   */
  public <T> void callAsync(Callable<T> call, BiConsumer<T, Exception> callback) {
    ioExecutor.execute(
        () -> {
          try {
            T result = call.call();
            execute(() -> callback.accept(result, null));
          } catch (Exception e) {
            execute(() -> callback.accept(null, e));
          }
        });
  }

  /** Returns the CPU time that the control thread has used, in milliseconds. */
  public long cpuMillis() {
    long id = controlThreadId.get();
    if (id < 0) {
      return 0;
    }
    long nanos = ManagementFactory.getThreadMXBean().getThreadCpuTime(id);
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos));
  }

  @Override
  public void close() {
    controlExecutor.shutdownNow();
    ioExecutor.shutdownNow();
  }

  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      events.record(EventKind.INTERNAL_FAULT, "control", describe(e));
    }
  }

  private static String describe(RuntimeException e) {
    StackTraceElement[] stack = e.getStackTrace();
    return stack.length == 0 ? e.toString() : e + " at " + stack[0];
  }

  private ThreadFactory controlThreadFactory() {
    return task -> {
      Thread thread = daemonThreadFactory("control").newThread(task);
      controlThreadId.set(thread.getId());
      return thread;
    };
  }

  private static ThreadFactory daemonThreadFactory(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }
}
