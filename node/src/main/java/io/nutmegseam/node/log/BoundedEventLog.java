package io.nutmegseam.node.log;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.event.HybridClock;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Writes events to the log on a dedicated thread. Drops and counts events if the log is read too
 * slowly, so that callers never block. Thread-safe.
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
   * @param clock provides the timestamps of events
   * @param capacity largest number of events that wait to be written
   */
  public BoundedEventLog(String node, HybridClock clock, int capacity) {
    this.node = node;
    this.clock = clock;
    this.queue = new ArrayBlockingQueue<>(capacity);
    Thread writer = new Thread(this::writeLoop, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void record(EventKind kind, String subject, String detail) {
    if (!queue.offer(new LoggedEvent(clock.tick(), node, kind, subject, detail))) {
      dropped.incrementAndGet();
    }
  }

  /** Returns the number of events that have been dropped. */
  public long droppedCount() {
    return dropped.get();
  }

  /** Writes all queued events; call before the process exits. */
  public void flush() {
    LoggedEvent event = queue.poll();
    while (event != null) {
      Logger.info(EventLog.toJson(event));
      event = queue.poll();
    }
  }

  private void writeLoop() {
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
    long total = dropped.get();
    if (total > droppedReported) {
      String detail = (total - droppedReported) + " lines";
      Logger.info(
          EventLog.toJson(
              new LoggedEvent(clock.tick(), node, EventKind.LOG_DROPPED, node, detail)));
      droppedReported = total;
    }
  }
}
