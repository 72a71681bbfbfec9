package io.nutmegseam.node.gateway;

import io.nutmegseam.core.event.EventKind;
import io.nutmegseam.core.event.EventSink;
import io.nutmegseam.core.fleet.ServerEntry;
import io.nutmegseam.core.platform.Row;
import io.nutmegseam.node.peer.PeerNetwork;
import io.nutmegseam.node.peer.generated.PeerFrame;
import io.nutmegseam.node.peer.generated.StoreNews;
import io.nutmegseam.node.rows.NodeDirectory;
import io.nutmegseam.node.rows.NodeRecord;
import io.nutmegseam.node.rows.OutageInquiry;
import io.nutmegseam.node.rows.PeerWriteRelay;
import io.nutmegseam.node.rows.PollTiming;
import io.nutmegseam.node.rows.RowFormat;
import io.nutmegseam.node.rows.RowStore;
import io.nutmegseam.node.rows.TableSink;
import io.nutmegseam.node.rows.TableUpdate;
import io.nutmegseam.node.rows.TableUpdateCodec;
import io.nutmegseam.node.rows.TableWatcher;
import io.nutmegseam.node.tenant.ConfigAgeExchange;
import java.io.IOException;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Watches the platform's store. In each data centre one node, the reader, reads the store and
 * forwards what it reads; a node that receives no updates reads the store itself. Confined to the
 * control thread.
 */
final class StoreWatcher {
  /** Name of the project's own table. */
  static final String OWN_TABLE = "nutmegseam";

  /** Configuration changes must be active within seconds, so reads wait at the store for them. */
  private static final PollTiming CONFIG_POLL_TIMING = new PollTiming(500, 50, 1_200);

  /** Servers write continuously, so a read that waits for a change would return immediately. */
  private static final PollTiming SERVER_POLL_TIMING = new PollTiming(0, 500, 1_200);

  private static final PollTiming OWN_TABLE_POLL_TIMING = new PollTiming(0, 500, 1_200);

  /**
   * Delay before the row of this node is written again if it is still missing or outdated, as after
   * a write without a response.
   */
  private static final long REGISTRATION_RETRY_MILLIS = 2_000;

  /**
   * Time over which nodes spread the writes of lost rows: 360 nodes stay below the 200 writes per
   * second that a part of the store handles.
   */
  private static final long REGISTRATION_SPREAD_MILLIS = 2_500;

  private final RowStore rows;
  private final RowDecoders decoders;
  private final NodeDirectory directory;
  private final PeerNetwork network;
  private final EventSink events;
  private final TableWatcher.Context context;
  private final TableWatcher<Row> configWatcher;
  private final TableWatcher<ServerEntry> serverWatcher;
  private final TableWatcher<Row> ownTableWatcher;
  private final PeerWriteRelay peerWrites;
  private final ConfigAgeExchange configAges;
  private final Set<String> activeReaders = new HashSet<>();
  private final Map<String, Long> storeReadMillisByNode = new HashMap<>();
  private final OutageInquiry outages;
  private int unavailableWatchers;

  /** How often this node has written to the store. */
  private long ownWrites;

  private long nextRegistrationMillis = Long.MIN_VALUE;

  /** Collaborators of the watcher. */
  record Dependencies(
      RowStore rows,
      RowDecoders decoders,
      NodeDirectory directory,
      PeerNetwork network,
      PeerWriteRelay.Timer timer,
      TableWatcher.Context context,
      ConfigAgeExchange configAges) {}

  /**
   * Creates a watcher; {@link #tick} reads the tables.
   *
   * @param dependencies collaborators of the watcher
   * @param fleet receives the configuration and the servers' entries
   * @param ownRows receives rows of the project's own table
   */
  StoreWatcher(Dependencies dependencies, FleetControl fleet, Consumer<TableUpdate<Row>> ownRows) {
    this.rows = dependencies.rows();
    this.decoders = dependencies.decoders();
    this.directory = dependencies.directory();
    this.network = dependencies.network();
    this.events = dependencies.context().events();
    this.context = dependencies.context();
    this.peerWrites =
        new PeerWriteRelay(
            rows, OWN_TABLE, dependencies.network(), dependencies.timer(), context.events());
    this.configAges = dependencies.configAges();
    this.configWatcher =
        createRowWatcher(
            decoders.configTable(),
            CONFIG_POLL_TIMING,
            update -> {
              fleet.onConfig(update);
              configAges.onRows(update.items());
            });
    configWatcher.observeReads(configAges::onReadSent);
    this.serverWatcher =
        new TableWatcher<>(
            new TableWatcher.Source(rows, decoders.serverTable()),
            SERVER_POLL_TIMING,
            RowFormat.servers(fleet::decodeServer),
            serverSink(fleet),
            (table, update) -> forward(TableUpdateCodec.encodeServers(table, update)),
            context);
    this.outages =
        new OutageInquiry(
            new OutageInquiry.Dependencies(
                network,
                () -> directory.nodes().size() == 1,
                () -> ownWrites,
                context.clock(),
                InstantSource.system(),
                context.random(),
                events));
    serverWatcher.observeAnswers(outages);
    this.ownTableWatcher =
        createRowWatcher(
            OWN_TABLE,
            OWN_TABLE_POLL_TIMING,
            update -> {
              applyOwnTable(update);
              ownRows.accept(update);
            });
  }

  private void applyOwnTable(TableUpdate<Row> update) {
    boolean registered = directory.ownRow().isPresent();
    if (update.full()) {
      directory.onFullTable(update.items());
    } else {
      update.items().forEach(directory::onRow);
    }
    update.removedKeys().forEach(directory::onRowRemoved);
    if (registered && directory.ownRow().isEmpty()) {
      // The rows of all nodes are lost at the same time if the store returns from an older copy.
      nextRegistrationMillis =
          context.clock().millis() + context.random().nextLong(REGISTRATION_SPREAD_MILLIS);
    }
  }

  private static TableSink<ServerEntry> serverSink(FleetControl fleet) {
    return new TableSink<>() {
      @Override
      public void apply(TableUpdate<ServerEntry> update) {
        fleet.onServers(update);
      }

      @Override
      public void limitUnsettled(long millis) {
        fleet.limitRemovalGrace(millis);
      }
    };
  }

  private TableWatcher<Row> createRowWatcher(String table, PollTiming timing, TableSink<Row> sink) {
    return new TableWatcher<>(
        new TableWatcher.Source(rows, table),
        timing,
        RowFormat.rows(),
        sink,
        (name, update) -> forward(TableUpdateCodec.encodeRows(name, update)),
        context);
  }

  /** Reads the tables that are due, and connects to the nodes that may read for this one. */
  void tick() {
    Set<String> connected = network.connectedNodes();
    for (NodeRecord record : directory.followedNodes()) {
      if (!connected.contains(record.node())) {
        network.connect(record.peerAddress());
      }
    }
    storeReadMillisByNode.keySet().retainAll(connected);
    if (activeReaders.removeIf(node -> !connected.contains(node))) {
      forEachWatcher(TableWatcher::readAtNextTick);
    }
    if (configAges.isReadDue()) {
      configWatcher.readOnceAtNextTick();
    }
    forEachWatcher(TableWatcher::tick);
    int unavailable =
        (int)
            Stream.of(configWatcher, serverWatcher, ownTableWatcher)
                .filter(TableWatcher::isStoreUnavailable)
                .count();
    if (unavailable < unavailableWatchers) {
      forEachWatcher(TableWatcher::retryAtNextTick);
    }
    unavailableWatchers = unavailable;
    outages.tick();
    configAges.tick(activeReaders);
    registerThisNode();
  }

  /** Returns what finds out whether the store was away. */
  OutageInquiry outages() {
    return outages;
  }

  /** Returns what proves the age of the configuration. */
  ConfigAgeExchange configAges() {
    return configAges;
  }

  /** Applies rows that another node has read. */
  void onUpdate(String node, StoreNews update) {
    boolean followed = directory.isFollowed(node);
    if (followed) {
      activeReaders.add(node);
    }
    storeReadMillisByNode.put(node, context.clock().millis() - update.getAgeMillis());
    try {
      if (update.getTable().equals(decoders.serverTable())) {
        serverWatcher.onUpdate(TableUpdateCodec.decodeServers(update), followed);
      } else if (update.getTable().equals(decoders.configTable())) {
        configWatcher.onUpdate(TableUpdateCodec.decodeRows(update), followed);
      } else if (update.getTable().equals(OWN_TABLE)) {
        ownTableWatcher.onUpdate(TableUpdateCodec.decodeRows(update), followed);
      }
    } catch (IOException e) {
      events.record(
          EventKind.PEER_REJECTED,
          node,
          "unreadable update of table " + update.getTable() + ": " + e);
    }
  }

  /** Handles another node's request to write a row, or its response to such a request. */
  void onWriteMessage(String node, PeerFrame frame) {
    if (frame.hasRowWriteAsk()) {
      peerWrites.onRequest(node, frame.getRowWriteAsk());
    } else {
      peerWrites.onResponse(frame.getRowWriteAnswer());
    }
  }

  /**
   * Writes a row of the project's own table. A node that does not reach the store sends the write
   * through another node that does.
   *
   * @param key key of the row
   * @param expectedVersion version that the row must have; 0 if it must not exist
   * @param value the new value
   * @return the new version, or empty if the row has another version
   */
  CompletableFuture<Optional<Long>> write(String key, long expectedVersion, String value) {
    Optional<String> relay = findRelay();
    if (relay.isPresent() && ownTableWatcher.isStoreUnavailable()) {
      return peerWrites.write(relay.get(), key, expectedVersion, value);
    }
    return rows.write(OWN_TABLE, key, expectedVersion, value)
        .thenApplyAsync(
            version -> {
              ownWrites += version.isPresent() ? 1 : 0;
              return version;
            },
            context.thread());
  }

  /** Returns the connected node that has read the store last, or empty if that is too long ago. */
  private Optional<String> findRelay() {
    long sinceMillis = context.clock().millis() - OWN_TABLE_POLL_TIMING.maxUpdateAgeMillis();
    return storeReadMillisByNode.entrySet().stream()
        .filter(entry -> entry.getValue() >= sinceMillis)
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey);
  }

  /** Returns the time since the servers' table was last read from the store, in milliseconds. */
  long serversAgeMillis() {
    return serverWatcher.ageMillis();
  }

  /**
   * Returns the monotonic time at which the servers' table was last read from the store, or empty
   * if it has not been read yet.
   */
  OptionalLong serversReadMillis() {
    return serverWatcher.readMillis();
  }

  /**
   * Returns the monotonic time at which the configuration was last read from the store, or empty if
   * it has not been read yet.
   */
  OptionalLong configReadMillis() {
    return configWatcher.readMillis();
  }

  /** Returns the time since the project's table was last read from the store, in milliseconds. */
  long ownTableAgeMillis() {
    return ownTableWatcher.ageMillis();
  }

  /** Returns the era of the store as last seen; it rises when the store returns from a copy. */
  long storeEra() {
    return ownTableWatcher.era();
  }

  private void forEachWatcher(Consumer<TableWatcher<?>> action) {
    action.accept(configWatcher);
    action.accept(serverWatcher);
    action.accept(ownTableWatcher);
  }

  private void forward(StoreNews update) {
    for (String node : network.connectedNodes()) {
      if (directory.isPeerInDataCentre(node)) {
        network.send(node, PeerFrame.newBuilder().setStoreNews(update));
      }
    }
  }

  /** Writes the row by which other nodes find this node, if it is missing or outdated. */
  private void registerThisNode() {
    long nowMillis = context.clock().millis();
    boolean tableCurrent = ownTableWatcher.ageMillis() < OWN_TABLE_POLL_TIMING.maxUpdateAgeMillis();
    if (directory.isOwnRowCurrent() || !tableCurrent || nowMillis < nextRegistrationMillis) {
      return;
    }
    nextRegistrationMillis = nowMillis + REGISTRATION_RETRY_MILLIS;
    long rowVersion = directory.ownRow().map(Row::version).orElse(0L);
    write(directory.ownKey(), rowVersion, directory.ownValue())
        .whenComplete(
            (version, e) -> {
              // The table watcher shows whether the write took effect.
              if (e != null) {
                events.record(EventKind.PLATFORM_OUT, OWN_TABLE, "own row not written: " + e);
              }
            });
  }
}
