package io.nutmegseam.node.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.event.HybridClock;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.tinylog.Logger;

/** Writes events to the log and keeps the most recent ones in memory. Thread-safe. */
public final class EventLog implements EventSink {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String node;
  private final HybridClock clock;
  private final int maxRecentEvents;
  private final Deque<LoggedEvent> recent = new ArrayDeque<>();

  /**
   * Creates a log.
   *
   * @param node name of the node
   * @param clock provides the timestamps of events
   * @param maxRecentEvents largest number of events kept in memory
   */
  public EventLog(String node, HybridClock clock, int maxRecentEvents) {
    this.node = node;
    this.clock = clock;
    this.maxRecentEvents = maxRecentEvents;
  }

  @Override
  public void record(EventKind kind, String subject, String detail) {
    LoggedEvent event = new LoggedEvent(clock.tick(), node, kind, subject, detail);
    addRecent(event);
    Logger.info(toJson(event));
  }

  /** Returns the events in memory, oldest first. */
  public synchronized List<LoggedEvent> recent() {
    return new ArrayList<>(recent);
  }

  /** Returns an event as one line of JSON. */
  public static String toJson(LoggedEvent event) {
    ObjectNode line = JSON.createObjectNode();
    line.put("time", Instant.ofEpochMilli(event.at().wallMillis()).toString());
    line.put("hlc", event.at().encode());
    line.put("node", event.node());
    line.put("event", event.kind().number());
    line.put("name", event.kind().name());
    line.put("subject", event.subject());
    line.put("detail", event.detail());
    try {
      return JSON.writeValueAsString(line);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("event cannot be encoded: " + event, e);
    }
  }

  private synchronized void addRecent(LoggedEvent event) {
    recent.addLast(event);
    while (recent.size() > maxRecentEvents) {
      recent.removeFirst();
    }
  }
}
