package io.nutmegseam.node.log;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.event.HybridClock;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Writes events to the log from a thread of its own. Events are dropped and counted if the reader
 * of the log is too slow, so that nobody waits for it. Safe for use by several threads.
 */
public final class BoundedEventLog implements EventSink {
  private final String node;
  private final HybridClock clock;
  private final BlockingQueue<LoggedEvent> queue;
  private final AtomicLong dropped = new AtomicLong();
  private long droppedReported;

  /**
   * Creates a log and starts its thread.
   *
   * @param node name of the node
   * @param clock gives the events their timestamps
   * @param capacity most events that wait to be written
   */
  public BoundedEventLog(String node, HybridClock clock, int capacity) {
    this.node = node;
    this.clock = clock;
    this.queue = new ArrayBlockingQueue<>(capacity);
    Thread writer = new Thread(this::write, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void record(EventKind kind, String subject, String detail) {
    if (!queue.offer(new LoggedEvent(clock.tick(), node, kind, subject, detail))) {
      dropped.incrementAndGet();
    }
  }

  /** Returns the number of events that were dropped. */
  public long droppedCount() {
    return dropped.get();
  }

  /** Writes what still waits, for a process that ends. */
  public void flush() {
    LoggedEvent event = queue.poll();
    while (event != null) {
      Logger.info(EventLog.toJson(event));
      event = queue.poll();
    }
  }

  private void write() {
    try {
      while (true) {
        Logger.info(EventLog.toJson(queue.take()));
        reportDropped();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void reportDropped() {
    long now = dropped.get();
    if (now > droppedReported) {
      String detail = (now - droppedReported) + " lines";
      Logger.info(
          EventLog.toJson(
              new LoggedEvent(clock.tick(), node, EventKind.LOG_DROPPED, node, detail)));
      droppedReported = now;
    }
  }
}
