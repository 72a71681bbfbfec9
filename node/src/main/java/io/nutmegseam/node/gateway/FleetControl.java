package io.nutmegseam.node.gateway;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.rows.TableUpdate;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps what is known of the configuration and the servers, and publishes it. Confined to the
 * control thread.
 */
final class FleetControl {
  /** News of the node that gives orders goes before older entries of the store for this time. */
  private static final long NEWS_LIFE_MILLIS = 4_000;

  private final GatewayBoard board;
  private final RowDecoders decoders;
  private final InstantSource clock;
  private final EventSink events;
  private final Runnable onChange;
  private final Map<String, ServerEntry> entryById = new HashMap<>();
  private final Map<String, Long> removeAtById = new HashMap<>();
  private final Map<Incarnation, News> newsByServer = new HashMap<>();
  private final Map<String, String> unreadable = new HashMap<>();

  private record News(Inventory inventory, long atMillis) {}

  /**
   * Creates the control.
   *
   * @param board receives the snapshots
   * @param decoders how the platform writes rows
   * @param clock monotonic clock
   * @param events the log
   * @param onChange called after each published change
   */
  FleetControl(
      GatewayBoard board,
      RowDecoders decoders,
      InstantSource clock,
      EventSink events,
      Runnable onChange) {
    this.board = board;
    this.decoders = decoders;
    this.clock = clock;
    this.events = events;
    this.onChange = onChange;
  }

  /** Takes in what the node that gives orders has seen of a server. */
  void onNews(Incarnation server, Inventory inventory) {
    newsByServer.put(server, new News(inventory, clock.millis()));
  }

  /** Publishes the servers if an entry that lapsed is due to be dropped. */
  void publishIfDue() {
    long nowMillis = clock.millis();
    if (removeAtById.values().stream().anyMatch(atMillis -> atMillis <= nowMillis)) {
      publish();
    }
  }

  /** Publishes the servers, after news. */
  void publish() {
    long nowMillis = clock.millis();
    newsByServer.values().removeIf(news -> nowMillis - news.atMillis() > NEWS_LIFE_MILLIS);
    removeAtById
        .entrySet()
        .removeIf(
            entry -> {
              boolean due = entry.getValue() <= nowMillis;
              if (due) {
                entryById.remove(entry.getKey());
              }
              return due;
            });
    Map<String, ServerEntry> merged = new HashMap<>();
    entryById.forEach((id, entry) -> merged.put(id, withNews(entry)));
    board.setFleet(new Fleet(merged));
    onChange.run();
  }

  private ServerEntry withNews(ServerEntry entry) {
    News news = newsByServer.get(entry.incarnation());
    boolean newer = news != null && news.inventory().orderCount() >= entry.inventory().orderCount();
    return newer ? entry.with(InventoryCopies.join(news.inventory(), entry.inventory())) : entry;
  }

  /** Takes in rows of the configuration's table. */
  TableUpdate<Row> onConfig(TableUpdate<Row> batch) {
    batch.items().forEach(this::onConfigRow);
    return batch;
  }

  private void onConfigRow(Row row) {
    if (!row.key().equals(decoders.configKey())) {
      return;
    }
    Optional<GatewayConfig> read = decode(row, decoders.config(), EventKind.CONFIG_UNREADABLE);
    long inForce = board.config().map(GatewayConfig::version).orElse(-1L);
    if (read.isPresent() && read.get().version() > inForce) {
      board.setConfig(read.get());
      events.record(
          EventKind.CONFIG_IN_FORCE,
          String.valueOf(read.get().version()),
          "%d routes, row version %d".formatted(read.get().routeCount(), row.version()));
      onChange.run();
    }
  }

  /** Reads the entry of a server. */
  Optional<ServerEntry> decodeServer(Row row) {
    return decode(row, decoders.server(), EventKind.SERVER_UNREADABLE);
  }

  /** Takes in servers' entries, and returns those that say something new. */
  TableUpdate<ServerEntry> onServers(TableUpdate<ServerEntry> batch) {
    List<ServerEntry> changed = new ArrayList<>();
    Set<String> present = new HashSet<>();
    for (ServerEntry entry : batch.items()) {
      present.add(entry.incarnation().id());
      if (onEntry(entry)) {
        changed.add(entry);
      }
    }
    Set<String> gone = new HashSet<>(batch.removedKeys());
    if (batch.full()) {
      gone.addAll(entryById.keySet());
      gone.removeAll(present);
    }
    gone.forEach(id -> onRemoved(id, batch.unsettledMillis()));
    if (!changed.isEmpty() || !gone.isEmpty() || batch.full()) {
      publish();
    }
    return batch.full() ? batch : batch.withItems(changed);
  }

  /** Returns whether the entry says more than the one before it. */
  private boolean onEntry(ServerEntry entry) {
    String id = entry.incarnation().id();
    boolean lapsed = removeAtById.remove(id) != null;
    ServerEntry before = entryById.put(id, withCopies(entry));
    if (before == null || !before.incarnation().equals(entry.incarnation())) {
      events.record(
          EventKind.SERVER_SEEN,
          entry.incarnation().toString(),
          "at %s, holds %s, on disk %d"
              .formatted(
                  entry.address(),
                  entry.inventory().adaptersByModel().keySet(),
                  entry.inventory().onDisk().size()));
    }
    if (entry.draining() && (before == null || !before.draining())) {
      events.record(EventKind.SERVER_LEAVING, entry.incarnation().toString(), "draining");
    }
    return lapsed || before == null || !before.equals(entryById.get(id));
  }

  /** News of other nodes do not tell the copies of weights that the entry named before. */
  private ServerEntry withCopies(ServerEntry entry) {
    ServerEntry before = entryById.get(entry.incarnation().id());
    boolean same = before != null && before.incarnation().equals(entry.incarnation());
    return same ? entry.with(InventoryCopies.join(entry.inventory(), before.inventory())) : entry;
  }

  private void onRemoved(String id, long mayReturnMillis) {
    if (entryById.containsKey(id) && !removeAtById.containsKey(id)) {
      removeAtById.put(id, clock.millis() + mayReturnMillis);
      events.record(
          EventKind.SERVER_LEAVING,
          id,
          mayReturnMillis > 0 ? "entry lapsed in an outage" : "entry removed");
    }
  }

  /** Reads a row; one that cannot be read is logged once a version and names nothing. */
  private <T> Optional<T> decode(Row row, RowDecoders.Decoder<T> decoder, EventKind onFault) {
    try {
      return Optional.of(decoder.decode(row));
    } catch (RowDecoders.DecodeException e) {
      if (!e.getMessage().equals(unreadable.put(row.key(), e.getMessage()))) {
        events.record(onFault, row.key(), "version " + row.version() + ", " + e.getMessage());
      }
      return Optional.empty();
    }
  }
}
