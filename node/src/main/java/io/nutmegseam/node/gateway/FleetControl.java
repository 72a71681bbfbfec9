package io.nutmegseam.node.gateway;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.Fleet;
import io.nutmegseam.core.fleet.Incarnation;
import io.nutmegseam.core.fleet.Inventory;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.gateway.GatewayConfig;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.core.platform.StorePosition;
import io.nutmegseam.node.rows.TableUpdate;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Tracks the configuration and the servers, and publishes them as snapshots. Confined to the
 * control thread.
 */
final class FleetControl {
  /** An inventory from the order lease holder overrides older store entries for this time. */
  private static final long INVENTORY_RETENTION_MILLIS = 4_000;

  /**
   * A removed server is remembered for this time, which is longer than the age of the copy from
   * which the store may return.
   */
  private static final long REMOVED_RETENTION_MILLIS = 60_000;

  private final GatewayState state;
  private final RowDecoders decoders;
  private final InstantSource clock;
  private final EventSink events;
  private final Runnable onChange;
  private final Map<String, ServerEntry> entryById = new HashMap<>();
  private final Map<String, Long> removeAtMillisById = new HashMap<>();
  private final Map<Incarnation, Long> removedMillisByServer = new HashMap<>();
  private long serversVersion;
  private final Map<Incarnation, ObservedInventory> inventoryByServer = new HashMap<>();
  private final Map<String, String> lastDecodeErrorByKey = new HashMap<>();

  private Set<Incarnation> loggedSuperseded = Set.of();

  private final Map<String, MergedEntry> mergedById = new HashMap<>();

  private record ObservedInventory(Inventory inventory, long receivedMillis) {}

  /** An entry with an observed inventory, and the inputs from which it was merged. */
  private record MergedEntry(ServerEntry entry, Inventory observed, ServerEntry merged) {}

  /**
   * Creates a control without a configuration and servers.
   *
   * @param state receives the snapshots
   * @param decoders the platform's tables and row formats
   * @param clock monotonic clock
   * @param events the log
   * @param onChange called after a snapshot has been published
   */
  FleetControl(
      GatewayState state,
      RowDecoders decoders,
      InstantSource clock,
      EventSink events,
      Runnable onChange) {
    this.state = state;
    this.decoders = decoders;
    this.clock = clock;
    this.events = events;
    this.onChange = onChange;
  }

  /** Records the inventory of a server as observed by the order lease holder. */
  void onInventory(Incarnation server, Inventory inventory) {
    inventoryByServer.put(server, new ObservedInventory(inventory, clock.millis()));
  }

  /** Limits the time after which entries that are missing are removed, in milliseconds. */
  void limitRemovalGrace(long millis) {
    long latestMillis = clock.millis() + millis;
    removeAtMillisById.replaceAll((id, atMillis) -> Math.min(atMillis, latestMillis));
    publishIfDue();
  }

  /** Publishes the servers if an entry is due for removal. */
  void publishIfDue() {
    long nowMillis = clock.millis();
    if (removeAtMillisById.values().stream().anyMatch(atMillis -> atMillis <= nowMillis)) {
      publish();
    }
  }

  /** Publishes the servers with their newest inventories, after removing entries that are due. */
  void publish() {
    long nowMillis = clock.millis();
    inventoryByServer
        .values()
        .removeIf(observed -> nowMillis - observed.receivedMillis() > INVENTORY_RETENTION_MILLIS);
    removeAtMillisById
        .entrySet()
        .removeIf(
            entry -> {
              boolean due = entry.getValue() <= nowMillis;
              if (due) {
                ServerEntry removed = entryById.remove(entry.getKey());
                removedMillisByServer.put(removed.incarnation(), nowMillis);
              }
              return due;
            });
    removedMillisByServer
        .values()
        .removeIf(removedMillis -> nowMillis - removedMillis > REMOVED_RETENTION_MILLIS);
    mergedById.keySet().retainAll(entryById.keySet());
    Map<String, ServerEntry> merged = new HashMap<>();
    entryById.forEach(
        (id, entry) -> {
          if (isServiceKnown(entry)) {
            merged.put(id, withObservedInventory(entry));
          }
        });
    Fleet fleet = new Fleet(merged);
    logSuperseded(fleet.superseded());
    state.setFleet(fleet);
    onChange.run();
  }

  /** Returns whether an entry may name a server to use; that of an unknown service does not. */
  private boolean isServiceKnown(ServerEntry entry) {
    return state.config().map(config -> config.service(entry.service()).isPresent()).orElse(true);
  }

  private void logSuperseded(Set<Incarnation> superseded) {
    superseded.stream()
        .filter(server -> !loggedSuperseded.contains(server))
        .forEach(
            server ->
                events.record(
                    EventKind.SERVER_LEAVING,
                    server.toString(),
                    "superseded by a later process at its address"));
    loggedSuperseded = superseded;
  }

  private ServerEntry withObservedInventory(ServerEntry entry) {
    ObservedInventory observed = inventoryByServer.get(entry.incarnation());
    boolean newer =
        observed != null && observed.inventory().orderCount() >= entry.inventory().orderCount();
    return newer ? merged(entry, observed.inventory()) : entry;
  }

  /** Merges an entry with an inventory; most entries are the same from one snapshot to the next. */
  private ServerEntry merged(ServerEntry entry, Inventory observed) {
    String id = entry.incarnation().id();
    MergedEntry before = mergedById.get(id);
    if (before != null && before.entry().equals(entry) && before.observed().equals(observed)) {
      return before.merged();
    }
    ServerEntry merged = entry.withInventory(InventoryMerger.merge(observed, entry.inventory()));
    mergedById.put(id, new MergedEntry(entry, observed, merged));
    return merged;
  }

  /**
   * Publishes which versions and routes are known up to when.
   *
   * @param serversReadMillis monotonic time at which the servers were last read; empty before that
   * @param configReadMillis monotonic time at which the configuration was last read
   */
  void onRead(OptionalLong serversReadMillis, OptionalLong configReadMillis) {
    serversReadMillis.ifPresent(
        millis -> state.setVersions(state.versions().observe(state.fleet(), millis)));
    configReadMillis.ifPresent(millis -> state.setRoutes(state.routes().confirm(millis)));
  }

  /** Applies rows of the configuration table. */
  void onConfig(TableUpdate<Row> update) {
    update.items().forEach(this::onConfigRow);
  }

  private void onConfigRow(Row row) {
    if (!row.key().equals(decoders.configKey())) {
      return;
    }
    Optional<GatewayConfig> decoded = decode(row, decoders.config(), EventKind.CONFIG_UNREADABLE);
    long activeVersion = state.config().map(GatewayConfig::version).orElse(-1L);
    if (decoded.isPresent() && decoded.get().version() > activeVersion) {
      state.setRoutes(state.routes().observe(decoded.get(), clock.millis()));
      state.setConfig(decoded.get());
      events.record(
          EventKind.CONFIG_IN_FORCE,
          String.valueOf(decoded.get().version()),
          "%d routes, row version %d".formatted(decoded.get().routeCount(), row.version()));
      publish();
    }
  }

  /** Decodes the entry of a server; returns empty and logs the error if that fails. */
  Optional<ServerEntry> decodeServer(Row row) {
    return decode(row, decoders.server(), EventKind.SERVER_UNREADABLE);
  }

  /** Applies an update of server entries. */
  void onServers(TableUpdate<ServerEntry> update) {
    boolean changed = false;
    Set<String> present = new HashSet<>();
    boolean restored =
        StorePosition.era(update.version()) > StorePosition.era(serversVersion) && !isEmpty();
    serversVersion = update.version();
    for (ServerEntry entry : update.items()) {
      if (restored && isRemoved(entry.incarnation())) {
        continue;
      }
      present.add(entry.incarnation().id());
      changed |= onEntry(entry);
    }
    Set<String> removed = new HashSet<>(update.removedKeys());
    if (update.full()) {
      removed.addAll(entryById.keySet());
      removed.removeAll(present);
    }
    removed.forEach(id -> onRemoved(id, update.unsettledMillis()));
    if (changed || !removed.isEmpty() || update.full()) {
      publish();
    }
  }

  private boolean isEmpty() {
    return entryById.isEmpty() && removedMillisByServer.isEmpty();
  }

  /**
   * Returns whether a server was removed recently. A store that returns from an older copy lists it
   * again until its entry lapses; if the server lives, it writes its entry once more.
   */
  private boolean isRemoved(Incarnation server) {
    return removedMillisByServer.containsKey(server);
  }

  /**
   * Stores an entry; returns whether it differs from the previous one or its removal was scheduled.
   */
  private boolean onEntry(ServerEntry entry) {
    String id = entry.incarnation().id();
    boolean removalPending = removeAtMillisById.remove(id) != null;
    ServerEntry before = entryById.get(id);
    entryById.put(id, withWeightCopies(staysDraining(before, entry) ? entry.asDraining() : entry));
    if (before == null || !before.incarnation().equals(entry.incarnation())) {
      events.record(
          EventKind.SERVER_SEEN,
          entry.incarnation().toString(),
          "address %s, loaded models %s, models on disk %d"
              .formatted(
                  entry.address(),
                  entry.inventory().adaptersByModel().keySet(),
                  entry.inventory().onDisk().size()));
    }
    if (entry.draining() && (before == null || !before.draining())) {
      events.record(EventKind.SERVER_LEAVING, entry.incarnation().toString(), "draining");
    }
    return removalPending || before == null || !before.equals(entryById.get(id));
  }

  /** Returns whether an older copy of the store shows a draining server as it was before. */
  private static boolean staysDraining(ServerEntry before, ServerEntry entry) {
    return before != null
        && before.draining()
        && before.incarnation().equals(entry.incarnation())
        && !entry.draining();
  }

  /** Adds the weight copies of the previous entry, since updates from other nodes omit them. */
  private ServerEntry withWeightCopies(ServerEntry entry) {
    ServerEntry before = entryById.get(entry.incarnation().id());
    boolean same = before != null && before.incarnation().equals(entry.incarnation());
    return same
        ? entry.withInventory(InventoryMerger.merge(entry.inventory(), before.inventory()))
        : entry;
  }

  private void onRemoved(String id, long graceMillis) {
    if (entryById.containsKey(id) && !removeAtMillisById.containsKey(id)) {
      removeAtMillisById.put(id, clock.millis() + graceMillis);
      events.record(
          EventKind.SERVER_LEAVING,
          id,
          graceMillis > 0 ? "entry missing after a store outage" : "entry removed");
    }
  }

  /** Decodes a row; on failure returns empty and logs the error, unless it repeats the last one. */
  private <T> Optional<T> decode(Row row, RowDecoders.Decoder<T> decoder, EventKind errorEvent) {
    try {
      return Optional.of(decoder.decode(row));
    } catch (RowDecoders.DecodeException e) {
      if (!e.getMessage().equals(lastDecodeErrorByKey.put(row.key(), e.getMessage()))) {
        events.record(errorEvent, row.key(), "version " + row.version() + ", " + e.getMessage());
      }
      return Optional.empty();
    }
  }
}
