package io.nutmegseam.node.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.StreamOrigin;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.control.TrafficTimer;
import io.nutmegseam.node.rows.RowStore;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Keeps the origins of this node's streams in the store while streams of their service can have
 * several origins, so that they are known after all nodes were killed at once. Each node writes one
 * row and reads those of all nodes only when it looks for an origin that no node knows. Confined to
 * the traffic thread.
 */
final class StoredOrigins {
  /** Name of the table, which is apart from the one that all nodes follow. */
  static final String TABLE = "nutmegseam-origins";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long MIN_WRITE_INTERVAL_MILLIS = 500;

  /** With more nodes each one writes more rarely, so that all together write 100 rows a second. */
  private static final long WRITE_INTERVAL_PER_NODE_MILLIS = 10;

  /** Lookups within this time after a read use its result. */
  private static final long READ_INTERVAL_MILLIS = 250;

  /** Longest wait of a lookup for the store. */
  private static final long READ_TIMEOUT_MILLIS = 250;

  /** A row of the store holds 64 KiB. */
  private static final int MAX_ROW_CHARACTERS = 40_000;

  private static final int MAX_ENTRIES = 10_000;

  private final String node;
  private final RowStore rows;
  private final InstantSource clock;
  private final TrafficTimer timer;
  private final Predicate<String> hasSeveralOrigins;
  private final EventSink events;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private final List<Read> waitingReads = new ArrayList<>();
  private Map<String, StreamOrigin> lastRead = Map.of();
  private long lastReadMillis = Long.MIN_VALUE / 2;
  private int nodeCount = 1;
  private boolean scheduled;
  private boolean changed;
  private boolean writing;
  private Optional<Long> rowVersion = Optional.empty();

  private record Entry(String request, StreamOrigin origin, long expiresMillis) {}

  /** A lookup that waits for the rows of all nodes. */
  private static final class Read {
    private final Consumer<Map<String, StreamOrigin>> callback;
    private boolean done;

    private Read(Consumer<Map<String, StreamOrigin>> callback) {
      this.callback = callback;
    }

    private void finish(Map<String, StreamOrigin> origins) {
      if (!done) {
        done = true;
        callback.accept(origins);
      }
    }
  }

  /**
   * Creates a component that has read and written nothing.
   *
   * @param node name of this node
   * @param rows the store
   * @param clock monotonic clock
   * @param timer runs delayed tasks on the traffic thread
   * @param hasSeveralOrigins whether streams of a service can have had several origins of late
   * @param events the log
   */
  StoredOrigins(
      String node,
      RowStore rows,
      InstantSource clock,
      TrafficTimer timer,
      Predicate<String> hasSeveralOrigins,
      EventSink events) {
    this.node = node;
    this.rows = rows;
    this.clock = clock;
    this.timer = timer;
    this.hasSeveralOrigins = hasSeveralOrigins;
    this.events = events;
  }

  /** Sets the number of nodes that write to the store. */
  void setNodeCount(int count) {
    nodeCount = count;
  }

  /** Keeps the origin of a stream until a monotonic time. */
  void keep(String request, StreamOrigin origin, long expiresMillis) {
    if (entries.size() >= MAX_ENTRIES) {
      entries.removeFirst();
    }
    entries.addLast(new Entry(request, origin, expiresMillis));
    changed = true;
    schedule();
  }

  private void schedule() {
    if (!scheduled) {
      scheduled = true;
      timer.schedule(
          Math.max(MIN_WRITE_INTERVAL_MILLIS, nodeCount * WRITE_INTERVAL_PER_NODE_MILLIS),
          () -> {
            scheduled = false;
            writeIfDue();
          });
    }
  }

  private void writeIfDue() {
    long nowMillis = clock.millis();
    entries.removeIf(entry -> entry.expiresMillis() <= nowMillis);
    if (entries.isEmpty() || writing) {
      return;
    }
    schedule();
    boolean several =
        entries.stream()
            .map(entry -> entry.origin().service())
            .distinct()
            .anyMatch(hasSeveralOrigins);
    if (changed && several) {
      writing = true;
      if (rowVersion.isPresent()) {
        write(rowVersion.get());
      } else {
        readOwnRow();
      }
    }
  }

  /** Reads the row of an earlier process of this node, whose streams may still be resumed. */
  private void readOwnRow() {
    rows.get(TABLE, node)
        .whenComplete(
            (row, e) ->
                onTrafficThread(
                    () -> {
                      if (e == null) {
                        row.ifPresent(this::merge);
                        write(row.map(Row::version).orElse(0L));
                      } else {
                        writing = false;
                        schedule();
                      }
                    }));
  }

  private void merge(Row row) {
    long expiresMillis =
        entries.stream().mapToLong(Entry::expiresMillis).max().orElse(clock.millis());
    decode(row)
        .forEach((request, origin) -> entries.addFirst(new Entry(request, origin, expiresMillis)));
  }

  private void write(long expectedVersion) {
    changed = false;
    rows.write(TABLE, node, expectedVersion, encode())
        .whenComplete(
            (version, e) ->
                onTrafficThread(
                    () -> {
                      writing = false;
                      // A write without a response may have taken effect, so the row is read.
                      rowVersion = e == null ? version : Optional.empty();
                      changed |= rowVersion.isEmpty();
                      schedule();
                    }));
  }

  /** Encodes the newest origins that fit into a row. */
  private String encode() {
    Map<StreamOrigin, ArrayNode> requestsByOrigin = new LinkedHashMap<>();
    int characters = 0;
    Iterator<Entry> newest = entries.descendingIterator();
    while (newest.hasNext() && characters < MAX_ROW_CHARACTERS) {
      Entry entry = newest.next();
      characters += entry.request().length() + 3;
      requestsByOrigin
          .computeIfAbsent(entry.origin(), origin -> JSON.createArrayNode())
          .add(entry.request());
    }
    ObjectNode row = JSON.createObjectNode();
    ArrayNode origins = row.putArray("origins");
    requestsByOrigin.forEach(
        (origin, requests) ->
            origins
                .addObject()
                .put("service", origin.service())
                .put("softwareVersion", origin.softwareVersion())
                .set("requests", requests));
    return row.toString();
  }

  private Map<String, StreamOrigin> decode(Row row) {
    Map<String, StreamOrigin> originByRequest = new HashMap<>();
    try {
      for (JsonNode group : JSON.readTree(row.value()).path("origins")) {
        StreamOrigin origin =
            new StreamOrigin(
                group.path("service").asText(), group.path("softwareVersion").asText());
        group.path("requests").forEach(request -> originByRequest.put(request.asText(), origin));
      }
    } catch (JsonProcessingException e) {
      events.record(EventKind.NODE_UNREADABLE, row.key(), "stream origins: " + e.getMessage());
    }
    return originByRequest;
  }

  /**
   * Reads the origins that all nodes have stored.
   *
   * @param callback receives them within a fraction of a second; none if the store does not respond
   */
  void read(Consumer<Map<String, StreamOrigin>> callback) {
    if (clock.millis() - lastReadMillis < READ_INTERVAL_MILLIS) {
      callback.accept(lastRead);
      return;
    }
    Read read = new Read(callback);
    waitingReads.add(read);
    timer.schedule(
        READ_TIMEOUT_MILLIS,
        () -> {
          waitingReads.remove(read);
          read.finish(Map.of());
        });
    if (waitingReads.size() == 1) {
      rows.readAll(TABLE)
          .whenComplete((result, e) -> onTrafficThread(() -> onRead(Optional.ofNullable(result))));
    }
  }

  private void onRead(Optional<RowStore.ReadResult> result) {
    Map<String, StreamOrigin> origins = new HashMap<>();
    result.ifPresent(read -> read.rows().forEach(row -> origins.putAll(decode(row))));
    if (result.isPresent()) {
      lastRead = Map.copyOf(origins);
      lastReadMillis = clock.millis();
    }
    List<Read> reads = List.copyOf(waitingReads);
    waitingReads.clear();
    reads.forEach(read -> read.finish(origins));
  }

  private void onTrafficThread(Runnable task) {
    timer.schedule(0, task);
  }
}
